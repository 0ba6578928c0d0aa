import type { FailureDomain, Millis, ModelName, ServiceName } from "@azureshunt/core";

import type { Organisation } from "../../configuration/Organisation.js";
import type { DeclaredState } from "../../knowledge/DeclaredState.js";
import { createEndpointTable } from "../../placement/createEndpointTable.js";
import type { createPrefixIndex } from "../../placement/createPrefixIndex.js";
import type { EndpointEntry } from "../../registry/EndpointEntry.js";
import { placeRequest } from "../../serve/placeRequest.js";
import type { ServedRequest } from "../../serve/ServedRequest.js";
import type { ServeParts } from "../../serve/ServeParts.js";
import type { TryPlace } from "../../serve/TryPlace.js";

type PlacedPrompt = {
    /** What the VM knows as it places the request. */
    readonly declaredState: DeclaredState;
    /** The organisation as it was when the request was admitted. */
    readonly organisation: Organisation | undefined;
    readonly maxAgeForKeysMs: Millis;
    readonly service: ServiceName;
    readonly model: ModelName;
    readonly engines: readonly EndpointEntry[];
    readonly prefixIndex: Pick<ReturnType<typeof createPrefixIndex>, "holders">;
};

/** Length of the only part that other prompts may share. */
const SHARED_TOKENS = 800;
const OWN_TOKENS = 10;

/** Places a request whose prompt begins with a part `p` on one of the engines. */
export function placePrompt(placed: PlacedPrompt, now: Millis): TryPlace | undefined {
    const { declaredState, organisation, maxAgeForKeysMs, service, model, engines, prefixIndex } = placed;
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
    endpointTable.applyRegistryEvent({ kind: "whole", entries: engines });
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
        prefixIndex,
        isDomainSilent: () => false,
        fleetDemand: () => 0,
    } as unknown as ServeParts;
    const served = {
        caller: {
            prompt: {
                model,
                promptTokens: SHARED_TOKENS + OWN_TOKENS,
                outputTokens: 1,
                parts: [{ id: "p", tokens: SHARED_TOKENS }, { id: "own", tokens: OWN_TOKENS }],
            },
        },
        service,
        organisation,
        route: { kind: "resumable-stream", objectiveMs: 100 },
    } as unknown as ServedRequest;
    return placeRequest(parts, served, new Set(), undefined);
}
