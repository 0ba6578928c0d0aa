import type { Millis, Tokens } from "@azureshunt/core";

const MS_PER_SECOND = 1_000;

/** What decides when an organisation's allowance is used up. */
type AllowanceQuestion = {
    /** Time until the allowance holds tokens again if nobody spends; 0 if it holds some now. */
    readonly refillWaitMs: Millis;
    /** Tokens of the organisation's requests that are queued here before this one. */
    readonly queuedTokens: Tokens;
    readonly ratePerSecond: Tokens;
    /** Longest time that this request may wait. */
    readonly maxWaitMs: Millis;
};

/** Whether to wait, and for how long; for a refusal, `waitMs` is the time after which a retry is worthwhile. */
type AllowanceDecision = { readonly kind: "wait" | "refuse"; readonly waitMs: Millis; };

/**
 * Decides whether a request waits for its organisation's tokens.
 *
 * Under load: if all VMs restart under full traffic, their buckets start empty. They hold tokens again within 3 to 110
 * ms; refusing until then would hit organisations within their rate, whose callers would all retry a moment later. So a
 * request whose tokens accrue within the time that it may wait is queued; a request of an organisation far over its
 * rate, which has more tokens queued than the rate yields in that time, is refused at once.
 */
export function waitForAllowance(question: AllowanceQuestion): AllowanceDecision {
    const { refillWaitMs, queuedTokens, ratePerSecond, maxWaitMs } = question;
    const waitMs = refillWaitMs + MS_PER_SECOND * queuedTokens / ratePerSecond;
    return { kind: waitMs <= maxWaitMs ? "wait" : "refuse", waitMs };
}
