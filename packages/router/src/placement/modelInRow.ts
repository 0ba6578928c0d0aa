import type { ModelName } from "@azureshunt/core";

import type { EndpointEntry } from "../registry/EndpointEntry.js";
import { onlyModelOf } from "./onlyModelOf.js";

/**
 * Returns what names a model at the end of a beacon's row about an engine: nothing if it is the only one that the engine
 * serves, as the receiver knows that one.
 */
export function modelInRow(
    entry: Pick<EndpointEntry, "versions"> | undefined,
    model: ModelName | undefined,
): readonly [ModelName?] {
    return model === undefined || (entry !== undefined && onlyModelOf(entry) === model) ? [] : [model];
}
