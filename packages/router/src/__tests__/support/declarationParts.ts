import type { Clock } from "@azureshunt/core";
import { createMetrics } from "@azureshunt/telemetry";

import type { EndpointAgent } from "../../dispatch/EndpointAgent.js";
import type { startDeclarations } from "../../knowledge/startDeclarations.js";
import type { DirectoryWire } from "../../ports/DirectoryWire.js";
import type { StorePort } from "../../ports/StorePort.js";
import { silentLogger } from "./silentLogger.js";

type DeclarationParts = Parameters<typeof startDeclarations>[0];
type Given = {
    readonly clock: Clock;
    readonly agent: EndpointAgent;
    readonly store: Pick<StorePort, "newest" | "read">;
    readonly decodeDeclaration: (key: string, value: Buffer) => unknown;
};

/** Returns the parts of the declarations of a VM that reads for all, whose changes nobody is told of. */
export function declarationParts({ clock, agent, store, decodeDeclaration }: Given): DeclarationParts {
    return {
        clock,
        agent,
        storeFor: () => store as StorePort,
        wire: { declarationsTopic: "declarations", decodeDeclaration } as unknown as DirectoryWire,
        logger: silentLogger,
        metrics: createMetrics(),
        onChange: () => undefined,
        onRollout: () => undefined,
        readerScope: () => "fleet",
        isForDomains: () => false,
        onFleetRead: () => undefined,
        beaconIntervalMs: () => 200,
        configurationMs: () => 2_000,
        queryRelay: () => Promise.resolve(undefined),
        mustWaitForRelay: () => false,
        checkSuspension: () => undefined,
    };
}
