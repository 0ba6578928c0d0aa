import type { EndpointAvailability } from "./EndpointAvailability.js";

/** State of an incarnation that has said nothing and refused nothing. */
export function initialAvailability(bornAt: number): EndpointAvailability {
    return {
        bornAt,
        leavingSince: undefined,
        pausedUntil: -Infinity,
        avoidedUntil: -Infinity,
        refusedInRow: 0,
        refusedAt: -Infinity,
        toldUntil: -Infinity,
        toldAt: -Infinity,
    };
}
