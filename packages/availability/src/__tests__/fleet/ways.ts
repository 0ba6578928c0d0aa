import type { EndpointAvailability } from "../../EndpointAvailability.js";
import { learnPause } from "../../learnPause.js";

const ignore = (state: EndpointAvailability): EndpointAvailability => state;

/** Ways to use the pauses that endpoints ask for; the product has `told`. */
const ways = {
    none: { learn: ignore, prefers: false },
    alone: { learn: ignore, prefers: true },
    told: { learn: learnPause, prefers: true },
    all: {
        learn: (
            state: EndpointAvailability,
            { pauseMs }: { readonly pauseMs: number; },
            now: number,
            random: number,
        ): EndpointAvailability => learnPause(state, { pauseMs, isShared: true }, now, random),
        prefers: true,
    },
} as const;

export { ways };
