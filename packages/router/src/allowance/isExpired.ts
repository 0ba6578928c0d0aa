import type { Millis } from "@azureshunt/core";

import { EXPIRY_MS } from "./EXPIRY_MS.js";

/** Times known of a counter. */
type KnownCounter = { readonly assumedFrom: Millis | undefined; readonly receivedAt: Millis; };

/**
 * Returns whether a counter has expired, so that its next value counts as the first one.
 *
 * If a VM becomes a relay and again receives directly what relays sent it for minutes, all that was spent meanwhile
 * would count twice. Symptom: organisations refused within their rate after a relay died. To prevent this, a counter
 * that was not received for `EXPIRY_MS` starts again, unless its VMs were counted as silent, and spending assumed for
 * them, within `EXPIRY_MS` after it was last received.
 */
export function isExpired(known: KnownCounter | undefined, now: Millis): boolean {
    return known !== undefined && (known.assumedFrom ?? now) - known.receivedAt > EXPIRY_MS;
}
