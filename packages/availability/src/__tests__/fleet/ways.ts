import type { EndpointAvailability } from "../../EndpointAvailability.js";
import { learnPause } from "../../learnPause.js";

const ignore = (state: EndpointAvailability): EndpointAvailability => state;

/** Ways to use the pauses that endpoints ask for; the product has `told`. */
const ways = {
    none: { learn: ignore, prefers: false },
    alone: { learn: ignore, prefers: true },
    told: { learn: learnPause, prefers: true },
    all: {
        learn: (state: EndpointAvailability, pauseMs: number, now: number, random: number): EndpointAvailability => {
            const after = learnPause(state, pauseMs, now, random);
            return { ...after, pausedUntil: Math.max(after.pausedUntil, after.toldUntil) };
        },
        prefers: true,
    },
} as const;

export { ways };
