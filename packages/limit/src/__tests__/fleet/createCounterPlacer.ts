import { createRate } from "./createRate.js";
import type { Placer } from "./Placer.js";

const USED_FRACTION = 0.9;
const WINDOW_MS = 2_000;

/** A way that was weighed: each VM sends while the requests that all VMs say they have sent are below the limit. */
export function createCounterPlacer(): Placer {
    const limits = new Map<number, number>();
    const sent = new Map<number, ReturnType<typeof createRate>>();
    const state = { others: [] as readonly number[] };
    const ownAt = (endpoint: number): ReturnType<typeof createRate> => {
        const known = sent.get(endpoint) ?? createRate(WINDOW_MS);
        sent.set(endpoint, known);
        return known;
    };
    return {
        learn: (endpoint, perSecond) => void limits.set(endpoint, perSecond),
        turns: (endpoints, now) =>
            endpoints.filter(endpoint => {
                const limit = limits.get(endpoint);
                return limit === undefined ||
                    ownAt(endpoint).perSecond(now) + (state.others[endpoint] ?? 0) < USED_FRACTION * limit;
            }),
        recordSent: (endpoint, now) => ownAt(endpoint).record(now),
        published: now =>
            Array.from({ length: Math.max(-1, ...sent.keys()) + 1 }, (_, endpoint) => ownAt(endpoint).perSecond(now)),
        receive: others => {
            state.others = others;
        },
    };
}
