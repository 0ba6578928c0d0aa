import type { EndpointName } from "@azureshunt/core";

import type { EngineWeights } from "../../fleet/EngineWeights.js";

/** An engine on version 1 that can be reached and has nothing to do. */
export function engineOf(name: string, more: Partial<EngineWeights> = {}): EngineWeights {
    return {
        endpoint: name as EndpointName,
        version: 1,
        outdatedMs: 0,
        ordersTaken: 0,
        order: undefined,
        running: 0,
        isUp: true,
        ...more,
    };
}
