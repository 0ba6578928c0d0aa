import type { EndpointName, Incarnation, Millis, PieceHash, RequestId } from "@azureshunt/core";
import type { CacheEvent, CacheSnapshot, EndpointEvent } from "@azureshunt/endpoint";
import type { Configuration } from "@azureshunt/release";

import type { Waiter } from "./Waiter.js";

/** What the placement actor is told. */
export type PlacementMessage =
    | { readonly kind: "configured"; readonly cfg: Configuration; }
    | { readonly kind: "place"; readonly waiter: Waiter; }
    /** The caller of a waiting request is gone. */
    | { readonly kind: "abandoned"; readonly id: RequestId; }
    | { readonly kind: "endpoint"; readonly endpoint: EndpointName; readonly event: EndpointEvent; }
    | { readonly kind: "cache-event"; readonly endpoint: EndpointName; readonly event: CacheEvent; }
    | { readonly kind: "cache-snapshot"; readonly endpoint: EndpointName; readonly snapshot: CacheSnapshot; }
    /** Another VM makes an endpoint compute pieces, which are there from `expectedAt` on. */
    | {
        readonly kind: "computing-elsewhere";
        readonly endpoint: EndpointName;
        readonly incarnation: Incarnation;
        readonly pieces: readonly PieceHash[];
        readonly expectedAt: Millis;
    }
    /** Time has passed: work that an engine had before may be done. */
    | { readonly kind: "tick"; }
    /** Time to forget what has expired, and to refuse calls that cannot start in time. */
    | { readonly kind: "sweep"; };
