import type { Millis, Tokens } from "@azureshunt/core";

import type { Outlook } from "./Outlook.js";
import { timing } from "./timing.js";
import type { Waiter } from "./Waiter.js";

const MS_PER_SECOND = 1_000;
const MAX_RETRY_SECONDS = 3_600;
/** Used if no home is reachable: nothing is known then except that outages take a while. */
const OUTAGE_RETRY_SECONDS = 2;

/** `wait`: the tokens are expected in time, or it is not known yet whether they are. */
type Verdict =
    | { readonly kind: "wait"; readonly expectedMs: Millis; }
    | {
        readonly kind: "refuse";
        readonly reason: "over-rate" | "allowance-unreachable";
        readonly retryAfterSeconds: number;
    };

const secondsUntil = (missing: Tokens, rate: Tokens): number =>
    rate > 0 ? Math.min(MAX_RETRY_SECONDS, Math.max(1, Math.ceil(missing / rate))) : OUTAGE_RETRY_SECONDS;

/**
 * Decides whether a waiting request can get its tokens in time, or is refused at once.
 *
 * @param missing tokens that this request and those before it lack on this VM
 * @param outlook what the homes are expected to supply
 */
export function judgeWaiter(
    waiter: Waiter,
    missing: Tokens,
    outlook: Outlook,
    now: Millis,
): Verdict {
    // After a restart of all VMs no home serves for a short time, and a request waits for that. As soon as one serves,
    // the usual rule applies.
    const isStarting = outlook.isTakingOver && outlook.rate === 0;
    if (isStarting ? now < waiter.takeoverDeadline : !outlook.isInformed && now < waiter.until) {
        return { kind: "wait", expectedMs: timing.askIntervalMs };
    }
    const lacking = missing + outlook.unmet - outlook.free;
    // If the homes have enough free tokens, these only have to arrive, so the request may wait longer.
    const until = lacking <= 0 ? waiter.until : Math.min(waiter.until, waiter.since + timing.maxWaitMs);
    const remainingMs = Math.max(0, until - now);
    // The longer a request has waited for recalled tokens in vain, the fewer of them are expected to arrive.
    const recallFraction = remainingMs / timing.maxWaitMs;
    const recallable = outlook.recallable * recallFraction;
    const expectedMs = lacking <= recallable
        ? timing.askIntervalMs
        : (lacking - recallable) * MS_PER_SECOND / Math.max(outlook.rate, Number.MIN_VALUE);
    if (expectedMs <= remainingMs) {
        return { kind: "wait", expectedMs };
    }
    const totalRate = outlook.rate + outlook.unreachableRate;
    const totalExpectedMs = (lacking - outlook.unreachableBurst) * MS_PER_SECOND /
        Math.max(totalRate, Number.MIN_VALUE);
    const isCutOff = outlook.unreachableRate > 0 && totalExpectedMs <= timing.maxWaitMs;
    // A home that has not answered by now may hold the tokens, so the organisation is not to blame for the refusal.
    const isHomeSilent = !outlook.isInformed && lacking <= recallable;
    return {
        kind: "refuse",
        reason: isCutOff || isHomeSilent ? "allowance-unreachable" : "over-rate",
        retryAfterSeconds: secondsUntil(lacking, outlook.rate),
    };
}
