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

const served = {
    caller: { prompt: undefined },
    service,
    route: { kind: "idempotent", objectiveMs: 100 },
} as unknown as ServedRequest;

const tableOf = (
    names: readonly string[],
    performance?: NonNullable<Parameters<typeof createEndpointTable>[0]["performance"]>,
) => {
    const endpointTable = createEndpointTable({
        clock,
        failureDomain: "a" as FailureDomain,
        declaredState: () => initialDeclaredState,
        peerLoadAt: () => ({ running: 0, waitingTokens: 0, memoryTokens: 0 }),
        domainSilentMs: () => 0,
        outdatedLimitMs: () => Infinity,
        onChange: () => undefined,
        onGone: () => undefined,
        ...(performance === undefined ? {} : { performance }),
    });
    endpointTable.applyRegistryEvent({
        kind: "whole",
        entries: names.map(name => entryOf(name, { service, versions: new Map() })),
    });
    return endpointTable;
};
const partsOf = (changed: object) =>
    ({
        clock,
        random: () => 0.5,
        placingVms: () => 3,
        unreadBodies: { isSlowReader: () => false },
        rollouts: { selectorFor: () => undefined },
        availability: { select: (placeable: readonly unknown[]) => placeable, isPaused: () => false },
        brittleServices: { select: (_: ServiceName, placeable: readonly unknown[]) => placeable },
        ...changed,
    }) as unknown as ServeParts;

// Guards against a request that gathers a turn twice, as it is placed again once no endpoint has room for it.
test("place request: one for which no limited endpoint has a turn is counted once at each", t => {
    const names = ["e1", "e2"];
    const counted: EndpointName[] = [];
    const parts = partsOf({
        endpointTable: tableOf(names),
        endpointLimits: {
            select: (_: unknown, placeable: readonly { readonly entry: { readonly name: EndpointName; }; }[]) => {
                counted.push(...placeable.map(({ entry }) => entry.name));
                return { unlimited: [], turns: [] };
            },
            isLimited: () => true,
            recordPlaced: () => undefined,
            size: () => names.length,
        },
    });
    t.is(placeRequest(parts, served, new Set(), undefined), undefined);
    t.deepEqual(counted.toSorted(), names as readonly string[] as readonly EndpointName[]);
});

// Guards against a choice that ignores how fast endpoints are, and against figures of dozens that are not compared.
test("place request: the speed is asked for the sampled endpoints alone, and is part of the choice", t => {
    const asked = new Set<EndpointName>();
    const endpointTable = tableOf(Array.from({ length: 12 }, (_, i) => `e${i}`), {
        at: entry => {
            asked.add(entry.name);
            return { performance: undefined, overdue: 3 };
        },
        observe: () => undefined,
        forget: () => undefined,
    });
    const parts = partsOf({
        endpointTable,
        declaredState: () => initialDeclaredState,
        prefixIndex: { holders: () => [] },
        fleetDemand: () => 0,
        placingVms: () => 76,
        endpointLimits: {
            select: (_: unknown, placeable: readonly unknown[]) => ({ unlimited: placeable, turns: [] }),
            recordPlaced: () => undefined,
            size: () => 0,
        },
    });
    t.is(placeRequest(parts, served, new Set(), undefined)?.candidate.overdue, 3);
    t.true(asked.size > 0 && asked.size <= 6);
});
