import type { Millis, ModelName } from "@azureshunt/core";

import type { Knowledge } from "./Knowledge.js";

/**
 * Returns when this VM learnt of the first target version newer than `version`, however many followed.
 *
 * @returns `undefined` if no newer version is known
 */
export function outdatedSince(knowledge: Knowledge, model: ModelName, version: number): Millis | undefined {
    return (knowledge.weights.get(model) ?? []).filter(target => target.version > version).at(-1)?.learntAt;
}
