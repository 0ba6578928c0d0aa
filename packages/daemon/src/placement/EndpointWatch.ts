import type { Incarnation } from "@azureshunt/core";
import type { CacheEvent, CacheSnapshot, EndpointEvent } from "@azureshunt/endpoint";
import type { EndpointSpec } from "@azureshunt/release";
import type { Dispatcher } from "undici";

import type { Clock } from "../ports/Clock.js";

/** What watching an endpoint needs. */
export type EndpointWatch = {
    readonly spec: EndpointSpec;
    readonly clock: Clock;
    /** Uniform in [0, 1). */
    readonly random: () => number;
    /** Pool of connections for short calls. */
    readonly dispatcher: Dispatcher;
    /** Connections for streams of cache events, so that short calls never wait behind one. */
    readonly streams: Dispatcher;
    readonly onEvent: (event: EndpointEvent) => void;
    readonly onCacheEvent: (event: CacheEvent) => void;
    readonly onCacheSnapshot: (snapshot: CacheSnapshot) => void;
    /** Whether this VM follows the engine itself; another one forwards its load and cache events otherwise. */
    readonly follows: () => boolean;
    /** The run whose cache is followed, the last event known, and whether entries wait for a resync. */
    readonly cursor: () => {
        readonly incarnation: Incarnation | undefined;
        readonly seq: number;
        readonly doubtful: boolean;
    };
};
