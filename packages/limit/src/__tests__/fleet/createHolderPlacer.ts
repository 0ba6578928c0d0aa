import type { Millis } from "@azureshunt/core";

import type { Placer } from "./Placer.js";
import type { PlacerParts } from "./PlacerParts.js";

/** Time for which a VM does not ask again after it was denied. */
const DENIED_MS: Millis = 250;

/** A way that was weighed: each limited endpoint has a holder, a VM that the others ask before each request there. */
export function createHolderPlacer({ askHolder }: PlacerParts): Placer {
    const limits = new Set<number>();
    const deniedUntil = new Map<number, Millis>();
    const ask = (endpoint: number, now: Millis): boolean => {
        if (now < (deniedUntil.get(endpoint) ?? -Infinity)) {
            return false;
        }
        const isGranted = askHolder(endpoint, now);
        if (!isGranted) {
            deniedUntil.set(endpoint, now + DENIED_MS);
        }
        return isGranted;
    };
    return {
        learn: endpoint => void limits.add(endpoint),
        turns: (endpoints, now) => {
            const granted = endpoints.find(endpoint => !limits.has(endpoint) || ask(endpoint, now));
            return granted === undefined ? [] : [granted];
        },
        recordSent: () => undefined,
        published: () => [],
        receive: () => undefined,
    };
}
