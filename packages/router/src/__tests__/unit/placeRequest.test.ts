import type { EndpointName, FailureDomain, ServiceName } from "@azureshunt/core";
import test from "ava";

import { initialDeclaredState } from "../../knowledge/initialDeclaredState.js";
import { createEndpointTable } from "../../placement/createEndpointTable.js";
import { placeRequest } from "../../serve/placeRequest.js";
import type { ServedRequest } from "../../serve/ServedRequest.js";
import type { ServeParts } from "../../serve/ServeParts.js";
import { entryOf } from "../support/entryOf.js";

const service = "desk" as ServiceName;
const clock = { now: () => 1_000, epoch: () => 1_000 };

// Guards against a request that gathers a turn twice, as it is placed again once no endpoint has room for it.
test("place request: one for which no limited endpoint has a turn is counted once at each", t => {
    const endpointTable = createEndpointTable({
        clock,
        failureDomain: "a" as FailureDomain,
        declaredState: () => initialDeclaredState,
        peerLoadAt: () => ({ running: 0, waitingTokens: 0, memoryTokens: 0 }),
        domainSilentMs: () => 0,
        outdatedLimitMs: () => Infinity,
        onChange: () => undefined,
        onGone: () => undefined,
    });
    const names = ["e1", "e2"];
    endpointTable.applyRegistryEvent({
        kind: "whole",
        entries: names.map(name => entryOf(name, { service, versions: new Map() })),
    });
    const counted: EndpointName[] = [];
    const parts = {
        clock,
        random: () => 0.5,
        endpointTable,
        placingVms: () => 3,
        unreadBodies: { isSlowReader: () => false },
        rollouts: { selectorFor: () => undefined },
        brittleServices: { select: (_: ServiceName, placeable: readonly unknown[]) => placeable },
        endpointLimits: {
            select: (_: unknown, placeable: readonly { readonly entry: { readonly name: EndpointName; }; }[]) => {
                counted.push(...placeable.map(({ entry }) => entry.name));
                return { unlimited: [], turns: [] };
            },
            isLimited: () => true,
            recordPlaced: () => undefined,
            size: () => names.length,
        },
    } as unknown as ServeParts;
    const served = {
        caller: { prompt: undefined },
        service,
        route: { kind: "idempotent", objectiveMs: 100 },
    } as unknown as ServedRequest;
    t.is(placeRequest(parts, served, new Set(), undefined), undefined);
    t.deepEqual(counted.toSorted(), names as readonly string[] as readonly EndpointName[]);
});
