import type { Outcome } from "../load/Outcome.js";
import { allowanceOf } from "../workload/allowanceOf.js";
import { costOf } from "../workload/costOf.js";
import { acceptWithin } from "./acceptWithin.js";
import type { Allowed } from "./Allowed.js";
import type { CacheUse } from "./CacheUse.js";
import { countWithheld } from "./countWithheld.js";
import { percentilesOf } from "./percentilesOf.js";
import type { OrganisationFigures, PhaseFigures } from "./PhaseFigures.js";
import type { RunRecord } from "./RunRecord.js";
import type { Spending } from "./Spending.js";

const MS_PER_SECOND = 1_000;

const isRefusal = ({ status, ran }: Outcome): boolean => status >= 400 && ran === "no";

/** Without the log no intent can be recorded, and without other VMs no grant be had; running all the same would be worse. */
const UNAVOIDABLE_CODES: readonly string[] = ["log-unavailable", "intent-window-lost", "allowance-unreachable"];

const isUnavoidable = (outcome: Outcome): boolean =>
    isRefusal(outcome) && UNAVOIDABLE_CODES.includes(outcome.errorCode ?? "");

const countByCode = (refusals: readonly Outcome[]): Readonly<Record<string, number>> => {
    const codes = refusals.map(({ errorCode }) => errorCode ?? "unknown");
    return Object.fromEntries([...new Set(codes)].map(code => [code, codes.filter(one => one === code).length]));
};

const isBroken = (outcome: Outcome): boolean => !outcome.complete && !isRefusal(outcome);

const firstTokens = (outcomes: readonly Outcome[]): readonly number[] =>
    outcomes
        .filter(({ arrival }) => arrival.kind === "long" || arrival.kind === "short")
        .flatMap(({ firstMs }) => firstMs === undefined ? [] : [firstMs]);

const sumOf = (uses: readonly CacheUse[], pick: (use: CacheUse) => number): number =>
    uses.reduce((sum, use) => sum + pick(use), 0);

const part = (of: number, whole: number): number => whole === 0 ? 1 : of / whole;

/** Makes the figures of one phase of a run. */
export function figuresOfPhase(run: RunRecord, phaseIndex: number): PhaseFigures {
    const { workload, phases } = run;
    const phase = phases[phaseIndex];
    const from = phases.slice(0, phaseIndex).reduce((sum, { seconds }) => sum + seconds, 0) * MS_PER_SECOND;
    const until = from + (phase?.seconds ?? 0) * MS_PER_SECOND;
    const outcomes = run.outcomes.filter(({ arrival }) => arrival.at >= from && arrival.at < until);
    const uses = run.cacheUses.filter(({ at }) => at - run.startedAt >= from && at - run.startedAt < until);
    const allowed: readonly Allowed[] = workload.organisations.map(({ id, share }) => ({
        organisation: id,
        ...allowanceOf(workload, share),
        atStart: 0,
    }));
    const offered = run.outcomes.filter(outcome => outcome.arrival.at < until && !isUnavoidable(outcome));
    const spendings: readonly Spending[] = offered.map(outcome => ({
        organisation: outcome.arrival.organisation,
        at: outcome.arrival.at,
        cost: costOf(workload, outcome.arrival.kind),
        accepted: !isRefusal(outcome),
    }));
    const spentBy = ({ organisation }: Allowed): readonly Spending[] =>
        spendings.filter(spending => spending.organisation === organisation);
    const wrongful = allowed.reduce((sum, one) => sum + countWithheld(one, spentBy(one), from), 0);

    const ofOrganisation = (one: Allowed): OrganisationFigures => {
        const own = outcomes.filter(({ arrival }) => arrival.organisation === one.organisation);
        const due = acceptWithin(one, spentBy(one)).filter(({ at }) => at >= from).length;
        const complete = own.filter(outcome => outcome.complete).length;
        return {
            organisation: one.organisation,
            offered: own.length,
            complete,
            servedPart: part(complete, due),
            firstToken: percentilesOf(firstTokens(own)),
        };
    };
    const promptTokens = sumOf(uses, use => use.promptTokens);
    return {
        phase: phase?.name ?? "",
        requests: outcomes.length,
        complete: outcomes.filter(outcome => outcome.complete).length,
        refused: outcomes.filter(isRefusal).length,
        wrongful,
        unavoidable: outcomes.filter(isUnavoidable).length,
        refusedBy: countByCode(outcomes.filter(isRefusal)),
        broken: outcomes.filter(isBroken).length,
        firstToken: percentilesOf(firstTokens(outcomes)),
        hitRate: part(sumOf(uses, use => use.cachedTokens), promptTokens),
        oracleHitRate: part(sumOf(uses, use => use.oracleTokens), promptTokens),
        recomputedTokens: sumOf(uses, use => Math.max(use.oracleTokens - use.cachedTokens, 0)),
        organisations: allowed.map(ofOrganisation),
    };
}
