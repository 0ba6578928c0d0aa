import type { Millis } from "@azureshunt/core";

import type { Placer } from "./Placer.js";
import type { PlacerParts } from "./PlacerParts.js";

const USED_FRACTION = 0.9;
const MS_PER_SECOND = 1_000;

/** A way that was weighed: each VM has an even share of the limit, as turns that come by time and lapse. */
export function createEvenPlacer({ vms, random }: PlacerParts): Placer {
    const limits = new Map<number, { readonly perSecond: number; readonly turns: number; readonly at: Millis; }>();
    return {
        learn: (endpoint, perSecond, now) => {
            if (!limits.has(endpoint)) {
                limits.set(endpoint, { perSecond, turns: random(), at: now });
            }
        },
        turns: (endpoints, now) =>
            endpoints.filter(endpoint => {
                const limit = limits.get(endpoint);
                if (limit === undefined) {
                    return true;
                }
                const share = USED_FRACTION * limit.perSecond / vms();
                const turns = limit.turns + share * (now - limit.at) / MS_PER_SECOND;
                const kept = Math.max(1, 2 * share);
                limits.set(endpoint, { ...limit, turns: Math.min(kept, turns), at: now });
                return turns >= 1;
            }),
        recordSent: endpoint => {
            const limit = limits.get(endpoint);
            if (limit !== undefined) {
                limits.set(endpoint, { ...limit, turns: Math.max(0, limit.turns - 1) });
            }
        },
        published: () => [],
        receive: () => undefined,
    };
}
