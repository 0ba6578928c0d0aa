import type { Millis } from "@azureshunt/core";

import type { Membership } from "./Membership.js";

/**
 * For how long buckets that this VM does not hand over have accrued, as far as it can vouch for it: the age that it tells
 * a new home. Negative while a former home's grants have still to run out.
 */
export function vouchedAge(membership: Membership, now: Millis): Millis {
    const settled = membership.joinedAt !== undefined && membership.awaiting.length === 0;
    const base = settled ? membership.emptyFrom : membership.startedAt + membership.keepMs;
    const from = membership.departures.reduce((latest, departure) => Math.max(latest, departure.emptyFrom), base);
    return now - from;
}
