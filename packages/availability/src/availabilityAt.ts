import type { Millis } from "@azureshunt/core";

import type { EndpointAvailability } from "./EndpointAvailability.js";

/** - `avoided`: it gets requests only if no other endpoint can take them. */
type Availability = "available" | "avoided" | "paused" | "leaving";

/** Returns whether an endpoint may get a request now. */
export function availabilityAt(
    { leavingSince, pausedUntil, avoidedUntil }: EndpointAvailability,
    now: Millis,
): Availability {
    if (leavingSince !== undefined) {
        return "leaving";
    }
    if (pausedUntil > now) {
        return "paused";
    }
    return avoidedUntil > now ? "avoided" : "available";
}
