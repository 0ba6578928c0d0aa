import type { DaemonCounters, RunFigures } from "../analysis/RunFigures.js";

const HEADER = [
    "workload",
    "policy",
    "daemon CPU ms/request",
    "daemon KB/request",
    "retries",
    "hedges",
    "doubled bookings",
    "back after shift",
    "generator late p99 ms",
];

const BYTES_PER_KB = 1_000;

const totalOf = (counters: DaemonCounters, name: string): number =>
    Object.entries(counters)
        .filter(([series]) => series.startsWith(name))
        .reduce((sum, [, value]) => sum + value, 0);

/** Returns the rows of the table of what each run cost the daemons, header first. */
export function costRows(runs: readonly RunFigures[]): readonly (readonly string[])[] {
    const rowOf = (run: RunFigures): readonly string[] => [
        run.workload,
        run.policy,
        run.daemonCpuMsPerRequest.toFixed(2),
        (run.daemonBytesPerRequest / BYTES_PER_KB).toFixed(0),
        String(totalOf(run.counters, "azureshunt_retries_total")),
        String(totalOf(run.counters, "azureshunt_hedges_total")),
        String(run.doubledBookings),
        run.shiftRecoverySeconds === undefined ? "not in this run" : `${run.shiftRecoverySeconds} s`,
        run.generatorLateness.p99.toFixed(1),
    ];
    return [HEADER, ...runs.map(rowOf)];
}
