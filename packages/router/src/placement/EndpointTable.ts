import type { EndpointName, Millis, ModelName, ServiceName, Tokens, VmId } from "@azureshunt/core";

import type { EngineOrder } from "../fleet/EngineOrder.js";
import type { EngineWeights } from "../fleet/EngineWeights.js";
import type { ModelVersion } from "../fleet/ModelVersion.js";
import type { EndpointShare } from "../peers/EndpointShare.js";
import type { OrderedRow } from "../peers/OrderedRow.js";
import type { EndpointEntry } from "../registry/EndpointEntry.js";
import type { RegistryEvent } from "../registry/RegistryEvent.js";
import type { Candidate } from "./Candidate.js";
import type { createPerformance } from "./createPerformance.js";
import type { InFlightHandle } from "./InFlightHandle.js";
import type { PlacedRequest } from "./PlacedRequest.js";
import type { WeightsBasis } from "./WeightsBasis.js";

/** An endpoint that could take a request, with what is needed to send the request there. */
type PlaceableEndpoint = {
    readonly candidate: Candidate;
    readonly entry: EndpointEntry;
    /** Version of the weights that it holds; undefined for plain services. */
    readonly weights: number | undefined;
};

/** All that a VM knows of the endpoints. */
export type EndpointTable = {
    /** Whether the registry has been read at all. */
    readonly isKnown: () => boolean;
    readonly size: () => number;
    /** When the registry last answered; `-Infinity` until then. */
    readonly answeredAt: () => Millis;
    /** Digest of the registry entries known here; see `digestOfRegistry`. */
    readonly registryDigest: () => string;
    readonly applyRegistryEvent: (event: RegistryEvent) => void;
    /** Returns the endpoints that could take a request, without what is known of their speed. */
    readonly candidates: (request: PlacedRequest) => readonly PlaceableEndpoint[];
    /**
     * Takes note that this process did not run until now: what endpoints sent meanwhile is not read yet, so their silence counts
     * from now on.
     */
    readonly onPaused: () => void;
    /** Adds what is known of an endpoint's speed, which only the few candidates that are sampled need. */
    readonly withPerformance: (candidate: Candidate, model: ModelName | undefined) => Candidate;
    /** Starts tracking a request that is sent to the endpoint. */
    readonly beginRequest: (
        endpoint: EndpointName,
        sizes: {
            readonly missingTokens: Tokens;
            readonly memoryTokens: Tokens;
            readonly expectedMs: Millis;
            readonly predictedMs?: Millis;
            /** Rank at the endpoint, 0 first. */
            readonly priority?: number;
        },
    ) => InFlightHandle;
    /** Records when the answer of a try started, or that the try ended before that. */
    readonly recordStart: ReturnType<typeof createPerformance>["observe"];
    /** Whether this VM sends requests to an endpoint: it is not in backoff. */
    readonly isUp: (entry: EndpointEntry) => boolean;
    /** Whether an endpoint is in backoff, or was lately and has shown no activity since. */
    readonly isSilent: (entry: EndpointEntry) => boolean;
    /** Records that a call other than a caller's request could not reach the endpoint. */
    readonly recordUnreached: (endpoint: EndpointName) => void;
    /** Records the version that an engine itself reported. */
    readonly observeWeights: (endpoint: EndpointName, weights: ModelVersion) => void;
    /**
     * Records the version that a peer reported for an engine.
     *
     * @param reported without a model, it is of the only one that the engine serves; if that serves several, it is ignored
     * @param by the peer
     * @returns whether the version was new to this VM
     */
    readonly receiveWeights: (
        endpoint: EndpointName,
        reported: Pick<ModelVersion, "version"> & { readonly model: ModelName | undefined; },
        by: VmId,
    ) => boolean;
    /** On what this VM decides about an engine's weights for a model. */
    readonly weightsBasis: (entry: EndpointEntry, model: ModelName) => WeightsBasis;
    /**
     * Records a weights order that this VM or a peer issued, or that is still being carried out. An order older than
     * the known one is ignored.
     *
     * @returns whether the order was accepted and an order for these weights was new to this VM
     */
    readonly recordOrder: (endpoint: EndpointName, order: EngineOrder) => boolean;
    /** Removes the order issued at that time, as it has ended or was never carried out; a newer order stays. */
    readonly orderEnded: (endpoint: EndpointName, issuedAt: Millis) => void;
    /**
     * Calls the listener whenever this VM learns of an order for new weights of the model to the engine.
     *
     * @returns a function that removes the listener
     */
    readonly onOrdered: (endpoint: EndpointName, model: ModelName, listener: () => void) => () => void;
    /**
     * Whether any engine of a model holds an older version. Called several times a second, so it checks nothing else.
     */
    readonly isAnyOutdated: (model: ModelName, version: number) => boolean;
    /**
     * Whether the store has to be read for the versions that entries state: one that peers have reported is no longer
     * confirmed, or an engine seems to have been outdated for longer than entries lag behind.
     */
    readonly areVersionsInDoubt: () => boolean;
    /** Upper bound on the age of the versions that entries state. */
    readonly versionsAgeMs: () => Millis;
    /** Engines that serve a model and are not leaving. */
    readonly engines: (model: ModelName) => readonly EngineWeights[];
    /** All registered endpoints, also those that are leaving. */
    readonly entries: () => readonly EndpointEntry[];
    /** Endpoints of a service that are not leaving. */
    readonly servingEntries: (service: ServiceName) => readonly EndpointEntry[];
    /** Requests that the endpoints of a service can start at once, by the load that this VM knows. */
    readonly freeSlots: (service: ServiceName) => number;
    /** Services that have endpoints with a model. */
    readonly engineServices: () => readonly ServiceName[];
    /** Entry of the endpoint at an address, `host:port`. */
    readonly entryAt: (address: string) => EndpointEntry | undefined;
    readonly entryOf: (endpoint: EndpointName) => EndpointEntry | undefined;
    /** This VM's own load at each endpoint where it has requests in flight. */
    readonly ownShares: () => readonly (readonly [EndpointName, EndpointShare])[];
    /** Orders of this VM that are being carried out. */
    readonly ownOrders: () => readonly OrderedRow[];
    /** Versions that engines are known to hold, and when this VM learned of them, from the engine or from a peer. */
    readonly engineVersions: () => readonly {
        readonly endpoint: EndpointName;
        readonly weights: ModelVersion;
        readonly learnedAt: Millis;
    }[];
};
