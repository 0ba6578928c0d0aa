import type { FailureDomain, Millis, ModelName, ServiceName } from "@azureshunt/core";

import type { Organisation } from "../../configuration/Organisation.js";
import type { DeclaredState } from "../../knowledge/DeclaredState.js";
import { createEndpointTable } from "../../placement/createEndpointTable.js";
import { placeRequest } from "../../serve/placeRequest.js";
import type { ServedRequest } from "../../serve/ServedRequest.js";
import type { ServeParts } from "../../serve/ServeParts.js";
import { entryOf } from "./entryOf.js";

const service = "lm" as ServiceName;
const model = "m" as ModelName;

type Placed = {
    /** What the VM knows as it places the request. */
    readonly declaredState: DeclaredState;
    /** The organisation as it was when the request was admitted. */
    readonly organisation: Organisation | undefined;
    readonly maxAgeForKeysMs: Millis;
    readonly weights?: number;
};

/** Places a request on an engine, and returns the salt of its cached parts. */
export function saltWhenPlaced({ declaredState, organisation, maxAgeForKeysMs, weights = 1 }: Placed, now: Millis) {
    const clock = { now: () => now, epoch: () => now };
    const endpointTable = createEndpointTable({
        clock,
        failureDomain: "a" as FailureDomain,
        declaredState: () => declaredState,
        peerLoadAt: () => ({ running: 0, waitingTokens: 0, memoryTokens: 0 }),
        domainSilentMs: () => 0,
        outdatedLimitMs: () => Infinity,
        onChange: () => undefined,
        onGone: () => undefined,
    });
    const entry = entryOf("e", { service, versions: new Map([[model, weights]]) });
    endpointTable.applyRegistryEvent({ kind: "whole", entries: [entry] });
    const parts = {
        clock,
        random: () => 0.5,
        placingVms: () => 1,
        declaredState: () => declaredState,
        bounds: () => ({ maxAgeForKeysMs, maxAgeForDenialMs: 0 }),
        endpointTable,
        unreadBodies: { isSlowReader: () => false },
        rollouts: { selectorFor: () => undefined },
        streams: { selectForNew: (_: unknown, entries: readonly unknown[]) => entries },
        availability: { select: (placeable: readonly unknown[]) => placeable, isPaused: () => false },
        brittleServices: { select: (_: ServiceName, placeable: readonly unknown[]) => placeable },
        endpointLimits: {
            select: (_: unknown, unlimited: readonly unknown[]) => ({ unlimited, turns: [] }),
            isLimited: () => false,
            recordPlaced: () => undefined,
        },
        prefixIndex: { holders: () => [] },
        isDomainSilent: () => false,
        fleetDemand: () => 0,
    } as unknown as ServeParts;
    const served = {
        caller: { prompt: { model, promptTokens: 10, outputTokens: 1, parts: [{ id: "p", tokens: 10 }] } },
        service,
        organisation,
        route: { kind: "resumable-stream", objectiveMs: 100 },
    } as unknown as ServedRequest;
    return placeRequest(parts, served, new Set(), undefined)?.salt;
}
