import type { EndpointAvailability } from "./EndpointAvailability.js";

/** State of an incarnation that has said nothing. */
export function initialAvailability(bornAt: number): EndpointAvailability {
    return { bornAt, leavingSince: undefined };
}
