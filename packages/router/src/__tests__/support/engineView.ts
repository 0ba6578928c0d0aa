import type { EndpointName, Millis, ModelName, ServiceName } from "@azureshunt/core";

import { initialDeclaredState } from "../../knowledge/initialDeclaredState.js";
import { stepDeclaredState } from "../../knowledge/stepDeclaredState.js";
import { applyBeacon } from "../../peers/applyBeacon.js";
import type { Beacon } from "../../peers/Beacon.js";
import { createBeaconEncoder } from "../../peers/createBeaconEncoder.js";
import { decodeBeacon } from "../../peers/decodeBeacon.js";
import type { PeerSyncSources } from "../../peers/PeerSyncSources.js";
import { createEndpointTable } from "../../placement/createEndpointTable.js";
import { createPrefixIndex } from "../../placement/createPrefixIndex.js";
import type { EndpointTable } from "../../placement/EndpointTable.js";
import type { EndpointEntry } from "../../registry/EndpointEntry.js";
import { emptyBeacon } from "./emptyBeacon.js";
import { entryOf } from "./entryOf.js";
import { routingOf } from "./routingOf.js";

type Rows = Partial<Pick<Beacon, "ordered" | "engineVersions" | "cached">>;

/** What one VM knows of the engines of a model whose target is version 3. */
type EngineView = {
    readonly endpointTable: EndpointTable;
    readonly prefixIndex: ReturnType<typeof createPrefixIndex>;
    /** Applies registry entries; those not named stay. */
    readonly read: (...entries: readonly Partial<EndpointEntry>[]) => void;
    /** Applies the rows that another VM sends, encoded and decoded as on the wire. */
    readonly receive: (rows: Rows) => void;
    /** Applies a beacon as it is on the wire. */
    readonly receiveDatagram: (datagram: Buffer) => void;
    /** Engines that may get a request now, and the weights that they are taken to hold. */
    readonly placeable: () => readonly (readonly [EndpointName, number | undefined])[];
};

const model = "model" as ModelName;
const TARGET = 3;
const SERVICE = "desk" as ServiceName;
const ENGINE = { slots: 6, holdMs: undefined, cacheTokens: 100_000 };

const ignore = { applyBeacon: () => undefined };

/** Creates the view of a VM that has read engine `e` in incarnation 1 with version 1 of `model`. */
export function engineView(time: { readonly now: Millis; }): EngineView {
    const clock = { now: () => time.now, epoch: () => time.now };
    const prefixIndex = createPrefixIndex(() => ({ expiryMs: 8_000, size: Infinity }));
    const targeted = stepDeclaredState(initialDeclaredState, { kind: "weights", model, version: TARGET }, time.now);
    const service = { name: SERVICE, maxConnections: 96, engine: ENGINE, cacheStore: undefined };
    const declared = {
        ...targeted,
        configuration: { ...routingOf(1, []), services: new Map([[SERVICE, service]]) },
    };
    const endpointTable = createEndpointTable({
        clock,
        failureDomain: emptyBeacon.failureDomain,
        declaredState: () => declared,
        peerLoadAt: () => ({ running: 0, waitingTokens: 0, memoryTokens: 0 }),
        domainSilentMs: () => 0,
        outdatedLimitMs: () => 10_500,
        onChange: () => undefined,
        onGone: prefixIndex.forget,
    });
    const read: EngineView["read"] = (...entries) =>
        endpointTable.applyRegistryEvent({
            kind: "changes",
            changes: entries.map(entry => {
                const changed = entryOf("e", { versions: new Map([[model, 1]]), ...entry });
                return { name: changed.name, entry: changed };
            }),
        });
    const placeable: EngineView["placeable"] = () =>
        endpointTable.candidates({
            service: SERVICE,
            model,
            promptAt: () => ({ missingTokens: 0, fetchedTokens: 0, source: undefined }),
            select: undefined,
            avoid: new Set(),
        }).map(({ entry, weights }) => [entry.name, weights] as const);
    const sources = {
        clock,
        endpointTable,
        prefixIndex,
        declarations: ignore,
        allowances: ignore,
        orders: { applyLeaseEvent: () => undefined },
        quarantine: ignore,
        registry: ignore,
        endpointLimits: ignore,
        availability: ignore,
        peerLoad: ignore,
        membership: { roleOf: () => "leaf" },
        relayBuffer: ignore,
        rollouts: { receiveRows: () => false },
    } as unknown as PeerSyncSources;
    const receiveDatagram: EngineView["receiveDatagram"] = datagram => {
        const beacon = decodeBeacon(datagram);
        if (beacon === undefined) {
            throw new Error("a beacon cannot be decoded");
        }
        const { incarnation, failureDomain } = beacon;
        const received = {
            incarnation,
            failureDomain,
            receivedAt: time.now,
            beacon,
            sentAfter: 0,
            stampedAt: 0,
            startedBefore: 0,
        };
        applyBeacon(sources, received, "10.0.0.9:1");
    };
    const receive: EngineView["receive"] = rows => {
        const sent = { ...emptyBeacon, ...rows };
        createBeaconEncoder(sent)(sent).forEach(receiveDatagram);
    };
    read({});
    placeable();
    return { endpointTable, prefixIndex, read, receive, receiveDatagram, placeable };
}
