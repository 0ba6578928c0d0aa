import type { PhaseFigures } from "../analysis/PhaseFigures.js";
import type { RunFigures } from "../analysis/RunFigures.js";

const HEADER = [
    "workload",
    "policy",
    "phase",
    "requests",
    "hit rate",
    "of oracle",
    "p50 ms",
    "p95 ms",
    "p99 ms",
    "recomputed",
    "worst p99 ms",
    "worst served",
    "refused",
    "wrongful",
    "unavoidable",
    "broken",
];

const formatRatio = (value: number): string => value.toFixed(3);
const formatMs = (value: number): string => value.toFixed(0);

/** Returns the organisations that kept to their rates: all but the noisy one in the noisy phase. */
const organisationsWithinRate = (phase: PhaseFigures, noisy: string) =>
    phase.organisations.filter(({ organisation }) => phase.phase !== "noisy" || organisation !== noisy);

const rowOf = (run: RunFigures, phase: PhaseFigures, noisy: string): readonly string[] => {
    const withinRate = organisationsWithinRate(phase, noisy);
    const worstP99 = Math.max(...withinRate.map(({ firstToken }) => firstToken.p99));
    const worstServedPart = Math.min(...withinRate.map(({ servedPart }) => servedPart));
    return [
        run.workload,
        run.policy,
        phase.phase,
        String(phase.requests),
        formatRatio(phase.hitRate),
        formatRatio(phase.oracleHitRate === 0 ? 1 : phase.hitRate / phase.oracleHitRate),
        formatMs(phase.firstToken.p50),
        formatMs(phase.firstToken.p95),
        formatMs(phase.firstToken.p99),
        String(phase.recomputedTokens),
        formatMs(worstP99),
        formatRatio(worstServedPart),
        String(phase.refused),
        String(phase.wrongful),
        String(phase.unavoidable),
        String(phase.broken),
    ];
};

/**
 * Returns the rows of the table of a measurement, header first.
 *
 * @param noisyOf returns the organisation that sends several times its rate, by name of the workload
 */
export function summaryRows(
    runs: readonly RunFigures[],
    noisyOf: (workload: string) => string,
): readonly (readonly string[])[] {
    return [
        HEADER,
        ...runs.flatMap(run => run.phases.map(phase => rowOf(run, phase, noisyOf(run.workload)))),
    ];
}
