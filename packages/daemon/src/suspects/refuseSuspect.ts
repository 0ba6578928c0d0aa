import { refusalOf } from "@azureshunt/core";
import type { Millis, Refusal } from "@azureshunt/core";
import { isHeld, quarantinedUntil } from "@azureshunt/request";
import type { RequestFingerprint, SuspectState } from "@azureshunt/request";

const MILLIS_PER_SECOND = 1_000;

/** Retry-After while VMs are still asked what they ran. */
const JUDGED_IN_SECONDS = 2;

/** The refusal of a request that crashes endpoints or may be found to; undefined where it may run. */
export function refuseSuspect(state: SuspectState, request: RequestFingerprint, now: Millis): Refusal | undefined {
    const until = quarantinedUntil(state, request, now);
    if (until !== undefined) {
        const seconds = Math.ceil((until - now) / MILLIS_PER_SECOND);
        return refusalOf("request-crashes-endpoints", `It is stopped for ${seconds} s more.`);
    }
    return isHeld(state, request)
        ? refusalOf("request-quarantined", "It ran on endpoints that died; the cause is not known yet.", {
            retryAfterSeconds: JUDGED_IN_SECONDS,
        })
        : undefined;
}
