import type { Clock, Millis } from "@azureshunt/core";

/** Age up to which a count is used again. Members change within seconds. */
const MAX_AGE_MS: Millis = 100;

/** Returns a function that reads a count that is asked for several times per request, at most every 100 ms. */
export function createRecentCount({ now }: Pick<Clock, "now">, read: () => number): () => number {
    const recent = { count: 0, readAt: -Infinity as Millis };
    return () => {
        const at = now();
        if (at - recent.readAt >= MAX_AGE_MS) {
            recent.count = read();
            recent.readAt = at;
        }
        return recent.count;
    };
}
