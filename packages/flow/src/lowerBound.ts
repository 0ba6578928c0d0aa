import type { Millis } from "@azureshunt/core";

import { boundAt } from "./boundAt.js";
import type { EndpointBound } from "./EndpointBound.js";
import { endpointLevels } from "./endpointLevels.js";

/**
 * Returns the bound of an endpoint that has died. Load: an endpoint whose memory is smaller than the bodies that wait for
 * it, and that would die of them again as often as it starts.
 *
 * @param unreadBytes what all VMs had sent to it and it had not read; without such bytes the bound stays
 */
export function lowerBound(
    before: EndpointBound | undefined,
    unreadBytes: number,
    now: Millis,
): EndpointBound | undefined {
    return unreadBytes === 0
        ? before
        : { bytes: Math.min(boundAt(before, now), endpointLevels.lowered * unreadBytes), loweredAt: now };
}
