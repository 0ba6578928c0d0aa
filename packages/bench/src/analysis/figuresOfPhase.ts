import type { Outcome } from "../load/Outcome.js";
import { allowanceOf } from "../workload/allowanceOf.js";
import { costOf } from "../workload/costOf.js";
import { acceptWithinAllowance } from "./acceptWithinAllowance.js";
import type { Allowance } from "./Allowance.js";
import type { AllowanceRequest } from "./AllowanceRequest.js";
import type { CacheUse } from "./CacheUse.js";
import { countWrongfulRefusals } from "./countWrongfulRefusals.js";
import { percentilesOf } from "./percentilesOf.js";
import type { OrganisationFigures, PhaseFigures } from "./PhaseFigures.js";
import type { RunRecord } from "./RunRecord.js";

const MS_PER_SECOND = 1_000;

const isRefusal = ({ status, ran }: Outcome): boolean => status >= 400 && ran === "no";

/**
 * Refusals that a correct daemon cannot avoid: without the log it cannot record intents, and without other VMs it gets no
 * grants. Running the request regardless would be worse.
 */
const UNAVOIDABLE_CODES: readonly string[] = ["log-unavailable", "intent-window-lost", "allowance-unreachable"];

const isUnavoidable = (outcome: Outcome): boolean =>
    isRefusal(outcome) && UNAVOIDABLE_CODES.includes(outcome.errorCode ?? "");

const countByErrorCode = (refusals: readonly Outcome[]): Readonly<Record<string, number>> => {
    const codes = refusals.map(({ errorCode }) => errorCode ?? "unknown");
    return Object.fromEntries([...new Set(codes)].map(code => [code, codes.filter(other => other === code).length]));
};

const isBroken = (outcome: Outcome): boolean => !outcome.complete && !isRefusal(outcome);

const firstTokenTimes = (outcomes: readonly Outcome[]): readonly number[] =>
    outcomes
        .filter(({ arrival }) => arrival.kind === "long" || arrival.kind === "short")
        .flatMap(({ firstMs }) => firstMs === undefined ? [] : [firstMs]);

const sumOf = (uses: readonly CacheUse[], pick: (use: CacheUse) => number): number =>
    uses.reduce((sum, use) => sum + pick(use), 0);

const ratio = (part: number, whole: number): number => whole === 0 ? 1 : part / whole;

/** Computes the figures of one phase of a run. */
export function figuresOfPhase(run: RunRecord, phaseIndex: number): PhaseFigures {
    const { workload, phases } = run;
    const phase = phases[phaseIndex];
    const from = phases.slice(0, phaseIndex).reduce((sum, { seconds }) => sum + seconds, 0) * MS_PER_SECOND;
    const until = from + (phase?.seconds ?? 0) * MS_PER_SECOND;
    const outcomes = run.outcomes.filter(({ arrival }) => arrival.at >= from && arrival.at < until);
    const uses = run.cacheUses.filter(({ at }) => at - run.startedAt >= from && at - run.startedAt < until);
    const allowances: readonly Allowance[] = workload.organisations.map(({ id, share }) => ({
        organisation: id,
        ...allowanceOf(workload, share),
        initialTokens: 0,
    }));
    const countedOutcomes = run.outcomes.filter(outcome => outcome.arrival.at < until && !isUnavoidable(outcome));
    const allowanceRequests: readonly AllowanceRequest[] = countedOutcomes.map(outcome => ({
        organisation: outcome.arrival.organisation,
        at: outcome.arrival.at,
        cost: costOf(workload, outcome.arrival.kind),
        accepted: !isRefusal(outcome),
    }));
    const requestsOf = ({ organisation }: Allowance): readonly AllowanceRequest[] =>
        allowanceRequests.filter(request => request.organisation === organisation);
    const wrongful = allowances.reduce(
        (sum, allowance) => sum + countWrongfulRefusals(allowance, requestsOf(allowance), from),
        0,
    );

    const figuresOfOrganisation = (allowance: Allowance): OrganisationFigures => {
        const ownOutcomes = outcomes.filter(({ arrival }) => arrival.organisation === allowance.organisation);
        const expected = acceptWithinAllowance(allowance, requestsOf(allowance)).filter(({ at }) => at >= from).length;
        const complete = ownOutcomes.filter(outcome => outcome.complete).length;
        return {
            organisation: allowance.organisation,
            offered: ownOutcomes.length,
            complete,
            servedPart: ratio(complete, expected),
            firstToken: percentilesOf(firstTokenTimes(ownOutcomes)),
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
        refusedBy: countByErrorCode(outcomes.filter(isRefusal)),
        broken: outcomes.filter(isBroken).length,
        firstToken: percentilesOf(firstTokenTimes(outcomes)),
        hitRate: ratio(sumOf(uses, use => use.cachedTokens), promptTokens),
        oracleHitRate: ratio(sumOf(uses, use => use.oracleTokens), promptTokens),
        recomputedTokens: sumOf(uses, use => Math.max(use.oracleTokens - use.cachedTokens, 0)),
        organisations: allowances.map(figuresOfOrganisation),
    };
}
