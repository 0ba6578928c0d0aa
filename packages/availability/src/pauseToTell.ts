import type { Millis } from "@azureshunt/core";

import { availabilityTiming } from "./availabilityTiming.js";
import type { EndpointAvailability } from "./EndpointAvailability.js";

/** Returns how much longer an endpoint wants a pause of which the other VMs are to be told; 0 if there is none. */
export function pauseToTell({ toldUntil, toldAt }: EndpointAvailability, now: Millis): Millis {
    const leftMs = toldUntil - now;
    return leftMs >= availabilityTiming.minToldMs && now - toldAt < availabilityTiming.newMs ? leftMs : 0;
}
