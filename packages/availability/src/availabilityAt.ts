import type { EndpointAvailability } from "./EndpointAvailability.js";

type Availability = "available" | "leaving";

/** Returns whether an endpoint may get a request. */
export function availabilityAt({ leavingSince }: EndpointAvailability): Availability {
    return leavingSince === undefined ? "available" : "leaving";
}
