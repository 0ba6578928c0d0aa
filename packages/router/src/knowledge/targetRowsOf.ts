import type { Millis } from "@azureshunt/core";

import type { Beacon } from "../peers/Beacon.js";
import type { DeclaredState } from "./DeclaredState.js";

/** Age from which a target says enough of all weights before it: none of them serve that long. */
const SETTLED_MS: Millis = 60_000;

/**
 * Returns the target weights as a beacon contains them: by model, the newest one and, while it is recent, those before
 * it, up to the first that is settled.
 */
export function targetRowsOf(weights: DeclaredState["weights"], now: Millis): Beacon["weights"] {
    return [...weights].flatMap(([model, history]) => {
        const settled = history.findIndex(({ knownSince }) => now - knownSince >= SETTLED_MS);
        // Rounded down: an age that grew a little with each exchange would grow without bound.
        return history
            .slice(0, settled === -1 ? history.length : settled + 1)
            .map(({ version, knownSince }) => [model, version, Math.floor(now - knownSince)] as const);
    });
}
