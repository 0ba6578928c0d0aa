import type { Clock, ModelName } from "@azureshunt/core";
import { createMetrics } from "@azureshunt/telemetry";
import { Right } from "purify-ts";

import { EndpointAgent } from "../../dispatch/EndpointAgent.js";
import { startDeclarations } from "../../knowledge/startDeclarations.js";
import type { DirectoryWire } from "../../ports/DirectoryWire.js";
import type { StorePort } from "../../ports/StorePort.js";
import { silentLogger } from "./silentLogger.js";

/** Starts the declarations of a VM whose store names the target weights of a model, and waits until they are read. */
export async function startTargetDeclarations(
    clock: Clock,
    model: ModelName,
    version: number,
): Promise<ReturnType<typeof startDeclarations>> {
    const store = {
        newest: () => Promise.resolve(Right({ records: [{ offset: 0, key: "v", value: Buffer.from("v") }], end: 1 })),
        read: () => Promise.resolve(Right({ records: [], end: 1 })),
    } as unknown as StorePort;
    const wire = {
        declarationsTopic: "declarations",
        decodeDeclaration: () => Right({ kind: "weights", model, version }),
    } as unknown as DirectoryWire;
    const declarations = startDeclarations({
        clock,
        storeFor: () => store,
        wire,
        agent: new EndpointAgent(clock.now),
        logger: silentLogger,
        metrics: createMetrics(),
        onChange: () => undefined,
        onRollout: () => undefined,
        readerScope: () => "none",
        isForDomains: () => false,
        onFleetRead: () => undefined,
        beaconIntervalMs: () => 200,
        configurationMs: () => 2_000,
        queryRelay: () => Promise.resolve(undefined),
        mustWaitForRelay: () => false,
        checkSuspension: () => undefined,
    });
    while (!declarations.current().weights.has(model)) {
        await new Promise(done => setTimeout(done, 5));
    }
    return declarations;
}
