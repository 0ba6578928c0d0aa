import type { EndpointName, FailureDomain, Millis, ModelName } from "@azureshunt/core";

import { initialDeclaredState } from "../../knowledge/initialDeclaredState.js";
import { stepDeclaredState } from "../../knowledge/stepDeclaredState.js";
import { createEndpointTable } from "../../placement/createEndpointTable.js";
import type { EndpointTable } from "../../placement/EndpointTable.js";
import { entryOf } from "./entryOf.js";

type OneEngineTable = {
    readonly endpointTable: EndpointTable;
    readonly time: { now: Millis; };
    readonly model: ModelName;
    readonly engine: EndpointName;
    /** Engines whose weights were replaced longer ago than this get no requests. */
    readonly servesForMs: Millis;
};

/**
 * Creates an endpoint table with one engine on version 1 of a model whose target has just become version 2. The test
 * sets the clock through `time`.
 */
export function endpointTableOf(
    address = "10.0.0.1:80",
    more: Partial<Parameters<typeof createEndpointTable>[0]> = {},
): OneEngineTable {
    const model = "model" as ModelName;
    const engine = "e" as EndpointName;
    const servesForMs = 10_500;
    const time = { now: 1_000 };
    const declaredState = stepDeclaredState(initialDeclaredState, { kind: "weights", model, version: 2 }, time.now);
    const endpointTable = createEndpointTable({
        clock: { now: () => time.now, epoch: () => time.now },
        failureDomain: "fd" as FailureDomain,
        declaredState: () => declaredState,
        peerLoadAt: () => ({ running: 0, waitingTokens: 0, memoryTokens: 0 }),
        domainSilentMs: () => 0,
        outdatedLimitMs: () => servesForMs,
        onChange: () => undefined,
        onGone: () => undefined,
        ...more,
    });
    endpointTable.applyRegistryEvent({
        kind: "whole",
        entries: [entryOf(engine, { address, versions: new Map([[model, 1]]) })],
    });
    return { endpointTable, time, model, engine, servesForMs };
}
