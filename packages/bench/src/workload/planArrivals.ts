import type { Arrival, PrefixChoice } from "./Arrival.js";
import { chooseWeighted } from "./chooseWeighted.js";
import type { Phase } from "./Phase.js";
import { seededRandom } from "./seededRandom.js";
import type { Workload } from "./Workload.js";

const MS_PER_SECOND = 1_000;
const KINDS = ["long", "short", "booking", "lookup"] as const;

/** Random numbers of one request, drawn in the same order for every request so that equal seeds give equal runs. */
type Draws = {
    readonly gap: number;
    readonly organisation: number;
    readonly kind: number;
    readonly daemon: number;
    readonly standard: number;
    readonly manual: number;
};

const draw = (random: () => number): Draws => ({
    gap: random(),
    organisation: random(),
    kind: random(),
    daemon: random(),
    standard: random(),
    manual: random(),
});

const zipf = (count: number, skew: number): readonly number[] =>
    Array.from({ length: count }, (_, rank) => 1 / (rank + 1) ** skew);

const choosePrefix = ({ prefixes }: Workload, { standard, manual }: Draws, shift: number): PrefixChoice => {
    const { standards, manualsPerStandard, skew } = prefixes;
    const standardRank = chooseWeighted(zipf(standards, skew), standard);
    const manualRank = chooseWeighted(zipf(manualsPerStandard, skew), manual);
    return {
        standard: (standardRank + shift) % standards,
        manual: (manualRank + shift) % manualsPerStandard,
    };
};

const organisationWeights = ({ organisations, noisy, rateHeadroom }: Workload, phase: Phase): readonly number[] =>
    organisations.map(({ id, share }) => share * (phase.noisy && id === noisy.id ? noisy.factor * rateHeadroom : 1));

const planPhase = (
    workload: Workload,
    phase: Phase,
    from: number,
    random: () => number,
): readonly Omit<Arrival, "id">[] => {
    const weights = organisationWeights(workload, phase);
    const totalWeight = weights.reduce((sum, one) => sum + one, 0);
    const requestsPerMs = workload.requestsPerSecond * phase.intensity * totalWeight / MS_PER_SECOND;
    const end = from + phase.seconds * MS_PER_SECOND;
    const arrivals: Omit<Arrival, "id">[] = [];
    for (let at = from;;) {
        const draws = draw(random);
        at -= Math.log(1 - draws.gap) / requestsPerMs;
        if (at >= end) {
            return arrivals;
        }
        const kind = KINDS[chooseWeighted(KINDS.map(name => workload.mix[name]), draws.kind)] ?? "long";
        arrivals.push({
            at,
            kind,
            organisation: workload.organisations[chooseWeighted(weights, draws.organisation)]?.id ?? "",
            daemon: Math.floor(draws.daemon * workload.daemons),
            prefix: kind === "long" ? choosePrefix(workload, draws, phase.shift) : undefined,
            phase: phase.name,
        });
    }
};

/** Plans all requests of a run as a Poisson process; the same seed gives the same plan. */
export function planArrivals(workload: Workload, phases: readonly Phase[], seed: number): readonly Arrival[] {
    const random = seededRandom(seed);
    const { planned } = phases.reduce<{ readonly from: number; readonly planned: readonly Omit<Arrival, "id">[]; }>(
        ({ from, planned }, phase) => ({
            from: from + phase.seconds * MS_PER_SECOND,
            planned: [...planned, ...planPhase(workload, phase, from, random)],
        }),
        { from: 0, planned: [] },
    );
    return planned.map((arrival, id) => ({ id, ...arrival }));
}
