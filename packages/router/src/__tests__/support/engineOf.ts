import type { EndpointName } from "@azureshunt/core";

import type { EngineWeights } from "../../fleet/EngineWeights.js";

/** Returns a reachable engine on version 1 that runs no request and has no order. */
export function engineOf(name: string, more: Partial<EngineWeights> = {}): EngineWeights {
    return {
        endpoint: name as EndpointName,
        bornAt: 1,
        version: 1,
        outdatedMs: 0,
        restartedAt: -Infinity,
        order: undefined,
        running: 0,
        isUp: true,
        ...more,
    };
}
