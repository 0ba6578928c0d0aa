import type { Millis } from "@azureshunt/core";

import { availabilityTiming } from "./availabilityTiming.js";

type RefusedCaller = {
    /** When the first pause ends. */
    readonly freeAt: Millis;
    /** Whether no other request of the service is more urgent. */
    readonly isUrgent: boolean;
    /** Uniformly distributed in [0, 1). */
    readonly random: number;
};

/** Fraction of the time in which callers return that belongs to the urgent ones. */
const URGENT_FRACTION = 0.25;

/** Returns when a caller may come back that was refused because all endpoints want a pause, the urgent ones first. */
export function returnAfterMs({ freeAt, isUrgent, random }: RefusedCaller, now: Millis): Millis {
    const fraction = isUrgent ? URGENT_FRACTION * random : URGENT_FRACTION + (1 - URGENT_FRACTION) * random;
    return Math.max(0, freeAt - now) + fraction * availabilityTiming.returnSpreadMs;
}
