import type { Millis, ModelName } from "@azureshunt/core";

import type { DeclaredState } from "./DeclaredState.js";

/**
 * Returns when this VM learned of the first target version newer than `version`, however many followed.
 *
 * @returns `undefined` if no newer version is known
 */
export function outdatedSince(declaredState: DeclaredState, model: ModelName, version: number): Millis | undefined {
    return (declaredState.weights.get(model) ?? []).filter(target => target.version > version).at(-1)?.learnedAt;
}
