import type { RegistryFreshness } from "./RegistryFreshness.js";
import type { RegistryFreshnessEvent } from "./RegistryFreshnessEvent.js";

/**
 * Updates how old the known entries can be.
 *
 * If a VM relied on a peer's view of the registry, a leaving endpoint could still get requests because the peer had not
 * read its entry either, or sent it too late. To prevent this, no entry is taken from a beacon. A beacon only confirms
 * that the peer had the same entries as of some time, which is never later than an actual read; if the entries differ,
 * this VM reads for itself.
 *
 * Beacons may wait in the buffers of a suspended VM and look recent when it continues. To prevent this, anything that
 * rests on timestamps from before the suspension is ignored.
 */
export function stepRegistryFreshness(before: RegistryFreshness, event: RegistryFreshnessEvent): RegistryFreshness {
    switch (event.kind) {
        case "read":
            return event.requestedAt < before.validFrom
                ? before
                : {
                    ...before,
                    asOf: Math.max(before.asOf, event.asOf),
                    requestedAt: event.requestedAt,
                    isContradicted: false,
                };
        case "received":
            if (event.stampedAt < before.validFrom || event.asOf <= before.asOf) {
                return before;
            }
            return event.isSame
                ? { ...before, asOf: event.asOf, isContradicted: false }
                : { ...before, isContradicted: true };
        case "suspended":
            return { asOf: -Infinity, isContradicted: false, requestedAt: -Infinity, validFrom: event.now };
    }
}
