import type { Millis, ModelName } from "@azureshunt/core";

import type { DeclaredState } from "./DeclaredState.js";

/**
 * Returns since when a target version newer than `version` has been known, however many followed. The first of them may
 * be unknown here, or known for less long, so the earliest time decides.
 *
 * @returns `undefined` if no newer version is known
 */
export function outdatedSince(declaredState: DeclaredState, model: ModelName, version: number): Millis | undefined {
    const newer = (declaredState.weights.get(model) ?? []).filter(target => target.version > version);
    return newer.length === 0 ? undefined : Math.min(...newer.map(({ knownSince }) => knownSince));
}
