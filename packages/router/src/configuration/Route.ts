import type { Millis, ServiceName } from "@azureshunt/core";

import type { RequestKind } from "./RequestKind.js";
import type { RouteName } from "./RouteName.js";

/** One of the services over which a route's requests are split. */
type RouteTarget = {
    readonly service: ServiceName;
    /** Share of the requests, relative to the weights of the other targets. */
    readonly weight: number;
};

/** Destination and handling of the requests for one host and path prefix. */
export type Route = {
    readonly name: RouteName;
    readonly host: string;
    /** Starts and ends with a slash. */
    readonly pathPrefix: string;
    readonly kind: RequestKind;
    readonly targets: readonly RouteTarget[];
    /** Maximum time from a request's arrival to the end of its answer. */
    readonly timeoutMs: Millis;
    /** Latency objective: time to the answer, or to the first event of a stream. */
    readonly objectiveMs: Millis;
    /** Maximum number of endpoints on which one request may run. */
    readonly maxTries: number;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** Whether requests are served without a key. */
    readonly isPublic: boolean;
};
