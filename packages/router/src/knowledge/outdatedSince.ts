import type { Millis, ModelName } from "@azureshunt/core";

import type { Knowledge } from "./Knowledge.js";

/**
 * Says when weights were first replaced: when the next version after them was named, however many came since.
 *
 * @returns undefined where no newer version is known
 */
export function outdatedSince(knowledge: Knowledge, model: ModelName, version: number): Millis | undefined {
    return (knowledge.weights.get(model) ?? []).filter(named => named.version > version).at(-1)?.learntAt;
}
