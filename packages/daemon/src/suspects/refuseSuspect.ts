import { refusalOf } from "@azureshunt/core";
import type { Millis, Refusal } from "@azureshunt/core";
import { deathsOf, quarantinedUntil, withheldUntil } from "@azureshunt/request";
import type { RequestFingerprint, SuspectState } from "@azureshunt/request";

import { SUSPECT_TIMES } from "./SUSPECT_TIMES.js";

const MILLIS_PER_SECOND = 1_000;

/** Retry-After while VMs are still queried for what they ran. */
const QUERIED_RETRY_AFTER_SECONDS = 2;

const secondsUntil = (until: Millis, now: Millis): number => Math.ceil((until - now) / MILLIS_PER_SECOND);

const heldRefusal = (state: SuspectState, request: RequestFingerprint, until: Millis, now: Millis): Refusal => {
    const newest = deathsOf(state, request).at(-1);
    const isQueried = newest === undefined || newest.at + SUSPECT_TIMES.queryForMs > now;
    return refusalOf("request-quarantined", "It ran on endpoints that died; the cause is not known yet.", {
        retryAfterSeconds: isQueried ? QUERIED_RETRY_AFTER_SECONDS : secondsUntil(until, now),
    });
};

/** Returns the refusal of a request that crashes endpoints, or is held as it may do so; undefined if it may run. */
export function refuseSuspect(state: SuspectState, request: RequestFingerprint, now: Millis): Refusal | undefined {
    const until = quarantinedUntil(state, request, now);
    if (until !== undefined) {
        return refusalOf("request-crashes-endpoints", `It is stopped for ${secondsUntil(until, now)} s more.`);
    }
    const held = withheldUntil(state, request, now);
    return held === undefined ? undefined : heldRefusal(state, request, held, now);
}
