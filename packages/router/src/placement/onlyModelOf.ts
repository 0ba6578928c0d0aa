import type { ModelName } from "@azureshunt/core";

import type { EndpointEntry } from "../registry/EndpointEntry.js";

/** Returns the model of an engine that serves one; `undefined` if it serves several, or none. */
export function onlyModelOf({ versions }: Pick<EndpointEntry, "versions">): ModelName | undefined {
    return versions.size === 1 ? [...versions.keys()][0] : undefined;
}
