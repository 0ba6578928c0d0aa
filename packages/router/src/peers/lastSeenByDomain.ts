import type { FailureDomain, Millis } from "@azureshunt/core";

import type { Members } from "./Members.js";

/**
 * Returns when any VM of each failure domain was last seen; domains without a known VM, or with none seen yet, are left
 * out.
 */
export function lastSeenByDomain(members: Members): ReadonlyMap<FailureDomain, Millis> {
    const { known, fleetSummary } = members;
    const seen = [
        ...[...known.values()].map(({ failureDomain, lastSeenAt }) => [failureDomain, lastSeenAt] as const),
        ...(fleetSummary?.domains ?? []).map(({ failureDomain, ageMs }) =>
            [failureDomain, (fleetSummary?.at ?? 0) - ageMs] as const
        ),
    ];
    const last = new Map<FailureDomain, Millis>();
    seen.forEach(([failureDomain, at]) => {
        if (failureDomain !== undefined && at > (last.get(failureDomain) ?? -Infinity)) {
            last.set(failureDomain, at);
        }
    });
    return last;
}
