import type { FailureDomain, Millis } from "@azureshunt/core";

import type { Members } from "./Members.js";

/** When any VM of each failure domain was last heard; domains of which none is known are left out. */
export function lastHeard(members: Members): ReadonlyMap<FailureDomain, Millis> {
    const last = new Map<FailureDomain, Millis>();
    members.known.forEach(({ heard }) => {
        if (heard !== undefined) {
            last.set(heard.failureDomain, Math.max(heard.at, last.get(heard.failureDomain) ?? -Infinity));
        }
    });
    return last;
}
