import type { EndpointName, Incarnation, Millis, PieceHash, RequestId } from "@azureshunt/core";
import type { CacheEvent, CacheSnapshot, EndpointEvent } from "@azureshunt/endpoint";
import type { Configuration } from "@azureshunt/release";

import type { Waiter } from "./Waiter.js";

/** Message to the placement actor. */
export type PlacementMessage =
    | { readonly kind: "configured"; readonly cfg: Configuration; }
    | { readonly kind: "place"; readonly waiter: Waiter; }
    /** The caller of a waiting request has disconnected. */
    | { readonly kind: "abandoned"; readonly id: RequestId; }
    | { readonly kind: "endpoint"; readonly endpoint: EndpointName; readonly event: EndpointEvent; }
    | { readonly kind: "cache-event"; readonly endpoint: EndpointName; readonly event: CacheEvent; }
    | { readonly kind: "cache-snapshot"; readonly endpoint: EndpointName; readonly snapshot: CacheSnapshot; }
    /** A dispatch of another VM makes an endpoint compute pieces, expected to be cached at `expectedAt`. */
    | {
        readonly kind: "computing-elsewhere";
        readonly endpoint: EndpointName;
        readonly incarnation: Incarnation;
        readonly pieces: readonly PieceHash[];
        readonly expectedAt: Millis;
    }
    /** Starts calls that can start by now, as engines may have finished work, and refuses those past their deadline. */
    | { readonly kind: "tick"; }
    /** Removes what has expired, and refuses calls that cannot start in time. */
    | { readonly kind: "sweep"; };
