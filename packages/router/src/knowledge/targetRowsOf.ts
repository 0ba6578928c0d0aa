import type { Millis } from "@azureshunt/core";

import type { DeclaredState } from "./DeclaredState.js";
import type { TargetRow } from "./TargetRow.js";

/** Age from which a target says enough of all weights before it: none of them serve that long. */
const SETTLED_MS: Millis = 60_000;

/**
 * Returns the target weights that others may need to know: by model, the newest one and, while it is recent, those
 * before it, up to the first that is settled.
 */
export function targetRowsOf(weights: DeclaredState["weights"], now: Millis): readonly TargetRow[] {
    return [...weights].flatMap(([model, history]) => {
        const settled = history.findIndex(({ knownSince }) => now - knownSince >= SETTLED_MS);
        // Rounded down: an age that grew a little with each exchange would grow without bound.
        return history
            .slice(0, settled === -1 ? history.length : settled + 1)
            .map(({ version, knownSince }) => [model, version, Math.floor(now - knownSince)] as const);
    });
}
