import type { Millis, Tokens } from "@azureshunt/core";

const MS_PER_SECOND = 1_000;

/** What is known when an organisation's allowance is used up. */
type AllowanceQuestion = {
    /** Until the allowance holds tokens again, if nobody else spends. */
    readonly shortMs: Millis;
    /** Tokens of the organisation's requests that wait here before this one. */
    readonly queuedTokens: Tokens;
    readonly ratePerSecond: Tokens;
    /** How long this request may wait. */
    readonly leftMs: Millis;
};

/** Whether to wait, and for how long; `waitMs` of a refusal is when it is worth coming back. */
type AllowanceDecision = { readonly kind: "wait" | "refuse"; readonly waitMs: Millis; };

/**
 * Decides whether a request waits for its organisation's tokens.
 *
 * Load: all VMs restart under full traffic, and their buckets start empty. They hold tokens again within 3 to 110 ms, yet
 * organisations within their rate were refused, and their callers came back in crowds a moment later. A request whose
 * tokens accrue in the time that it may wait is held for them; one of an organisation far over its rate, which has more
 * waiting already than the rate brings in that time, is refused at once.
 */
export function waitForAllowance(question: AllowanceQuestion): AllowanceDecision {
    const { shortMs, queuedTokens, ratePerSecond, leftMs } = question;
    const waitMs = shortMs + MS_PER_SECOND * queuedTokens / ratePerSecond;
    return { kind: waitMs <= leftMs ? "wait" : "refuse", waitMs };
}
