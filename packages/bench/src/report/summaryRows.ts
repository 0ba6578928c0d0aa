import type { PhaseFigures } from "../analysis/PhaseFigures.js";
import type { RunFigures } from "../analysis/RunFigures.js";

const HEAD = [
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

const ratio = (value: number): string => value.toFixed(3);
const ms = (value: number): string => value.toFixed(0);

/** The organisations that kept to their rates: all, but for the noisy one while it is noisy. */
const wellBehaved = (phase: PhaseFigures, noisy: string) =>
    phase.organisations.filter(({ organisation }) => phase.phase !== "noisy" || organisation !== noisy);

const rowOf = (run: RunFigures, phase: PhaseFigures, noisy: string): readonly string[] => {
    const others = wellBehaved(phase, noisy);
    const worst = Math.max(...others.map(({ firstToken }) => firstToken.p99));
    const served = Math.min(...others.map(({ servedPart }) => servedPart));
    return [
        run.workload,
        run.policy,
        phase.phase,
        String(phase.requests),
        ratio(phase.hitRate),
        ratio(phase.oracleHitRate === 0 ? 1 : phase.hitRate / phase.oracleHitRate),
        ms(phase.firstToken.p50),
        ms(phase.firstToken.p95),
        ms(phase.firstToken.p99),
        String(phase.recomputedTokens),
        ms(worst),
        ratio(served),
        String(phase.refused),
        String(phase.wrongful),
        String(phase.unavoidable),
        String(phase.broken),
    ];
};

/**
 * Rows of the table of a measurement, its head first.
 *
 * @param noisyOf the organisation of a workload that sends several times its rate
 */
export function summaryRows(
    runs: readonly RunFigures[],
    noisyOf: (workload: string) => string,
): readonly (readonly string[])[] {
    return [
        HEAD,
        ...runs.flatMap(run => run.phases.map(phase => rowOf(run, phase, noisyOf(run.workload)))),
    ];
}
