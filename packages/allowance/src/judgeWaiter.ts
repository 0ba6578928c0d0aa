import type { Millis, Tokens } from "@azureshunt/core";

import type { Outlook } from "./Outlook.js";
import { timing } from "./timing.js";
import type { Waiter } from "./Waiter.js";

const MS_PER_SECOND = 1_000;
const LONGEST_RETRY_SECONDS = 3_600;
/** When no home is in reach, nothing is known but that outages last. */
const OUTAGE_RETRY_SECONDS = 2;

/** `wait`: the tokens will come in time, or it is not known yet. */
type Verdict =
    | { readonly kind: "wait"; readonly expectedMs: Millis; }
    | {
        readonly kind: "refuse";
        readonly reason: "over-rate" | "allowance-unreachable";
        readonly retryAfterSeconds: number;
    };

const secondsUntil = (missing: Tokens, rate: Tokens): number =>
    rate > 0 ? Math.min(LONGEST_RETRY_SECONDS, Math.max(1, Math.ceil(missing / rate))) : OUTAGE_RETRY_SECONDS;

/**
 * Decides at once whether a waiting request can get its tokens in time.
 *
 * @param waiter the request
 * @param missing tokens that it and those before it lack on this VM
 * @param outlook what is known of the homes
 */
export function judgeWaiter(
    waiter: Waiter,
    missing: Tokens,
    outlook: Outlook,
    now: Millis,
): Verdict {
    // After a restart of the whole installation no home serves for a moment; others' tokens are refused or given by rule.
    const isStarting = outlook.settling && outlook.rate === 0;
    if (isStarting ? now < waiter.settledBy : !outlook.informed && now < waiter.until) {
        return { kind: "wait", expectedMs: timing.askAgainMs };
    }
    const lacking = missing + outlook.unmet - outlook.free;
    // Tokens that stand free at a home are only on their way.
    const until = lacking <= 0 ? waiter.until : Math.min(waiter.until, waiter.since + timing.maxWaitMs);
    const patience = Math.max(0, until - now);
    // The longer a request has waited in vain for tokens called back, the less is to be hoped of them.
    const hope = patience / timing.maxWaitMs;
    const recallable = outlook.recallable * hope;
    const expectedMs = lacking <= recallable
        ? timing.askAgainMs
        : (lacking - recallable) * MS_PER_SECOND / Math.max(outlook.rate, Number.MIN_VALUE);
    if (expectedMs <= patience) {
        return { kind: "wait", expectedMs };
    }
    const wholeRate = outlook.rate + outlook.unreachableRate;
    const withAllMs = (lacking - outlook.unreachableBurst) * MS_PER_SECOND / Math.max(wholeRate, Number.MIN_VALUE);
    const isCutOff = outlook.unreachableRate > 0 && withAllMs <= timing.maxWaitMs;
    // Homes that have not told anything by now may well hold the tokens: that is not the organisation's doing.
    const isUnheard = !outlook.informed && lacking <= recallable;
    return {
        kind: "refuse",
        reason: isCutOff || isUnheard ? "allowance-unreachable" : "over-rate",
        retryAfterSeconds: secondsUntil(lacking, outlook.rate),
    };
}
