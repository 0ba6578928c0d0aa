import type { Incarnation } from "@azureshunt/core";
import type { CacheEvent, CacheSnapshot, EndpointEvent } from "@azureshunt/endpoint";
import type { EndpointSpec } from "@azureshunt/release";
import type { Dispatcher } from "undici";

import type { Clock } from "../ports/Clock.js";

/** Inputs of watching an endpoint. */
export type EndpointWatch = {
    readonly spec: EndpointSpec;
    readonly clock: Clock;
    /** Uniform in [0, 1). */
    readonly random: () => number;
    /** Connections for polls. */
    readonly dispatcher: Dispatcher;
    /** Connections for streams of cache events, separate so that polls never wait behind a stream. */
    readonly streams: Dispatcher;
    readonly onEvent: (event: EndpointEvent) => void;
    readonly onCacheEvent: (event: CacheEvent) => void;
    readonly onCacheSnapshot: (snapshot: CacheSnapshot) => void;
    /** Whether this VM follows the engine itself; if not, another VM sends the engine's load and cache events. */
    readonly follows: () => boolean;
    /**
     * The incarnation whose cache is followed, the number of the last event applied, and whether a resync is needed.
     */
    readonly cursor: () => {
        readonly incarnation: Incarnation | undefined;
        readonly seq: number;
        readonly doubtful: boolean;
    };
};
