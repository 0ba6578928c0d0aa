import type { Millis } from "@azureshunt/core";

import type { Membership } from "./Membership.js";
import type { MembershipRecord } from "./MembershipRecord.js";

/**
 * Creates a membership without any known members.
 *
 * @param self this VM's join record
 * @param keepMs time for which a home counts its grants as outstanding
 */
export function openMembership(self: MembershipRecord, keepMs: Millis, now: Millis): Membership {
    return {
        self,
        startedAt: now,
        keepMs,
        offset: 0,
        complete: true,
        caughtUp: false,
        members: new Map(),
        hadDepartures: false,
        joinedAt: undefined,
        appendedAt: undefined,
        isLeaving: false,
        awaiting: [],
        departures: [],
        emptyFrom: now + keepMs,
        handedTo: [],
        tickedAt: now,
        confirmedByLog: true,
        confirmedByList: true,
    };
}
