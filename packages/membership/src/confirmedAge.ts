import type { Millis } from "@azureshunt/core";

import type { Membership } from "./Membership.js";

/**
 * Returns for how many milliseconds buckets that this VM does not hand over have accrued, as far as it can confirm; the
 * VM sends this age to a new home. Negative while grants of a former home have still to expire.
 */
export function confirmedAge(membership: Membership, now: Millis): Millis {
    const hasAllHandOvers = membership.joinedAt !== undefined && membership.awaiting.length === 0;
    const base = hasAllHandOvers ? membership.emptyFrom : membership.startedAt + membership.keepMs;
    const from = membership.departures.reduce((latest, departure) => Math.max(latest, departure.emptyFrom), base);
    return now - from;
}
