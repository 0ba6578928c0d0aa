import type { Millis, ServiceName } from "@azureshunt/core";

import type { RequestKind } from "./RequestKind.js";
import type { RouteName } from "./RouteName.js";

/** One of the services that a route's requests are split over. */
type RouteTarget = {
    readonly service: ServiceName;
    /** Share of the requests, relative to the other targets' weights. */
    readonly weight: number;
};

/** Where requests of one host and path go, and what may be done with them. */
export type Route = {
    readonly name: RouteName;
    readonly host: string;
    /** Begins and ends with a slash. */
    readonly pathPrefix: string;
    readonly kind: RequestKind;
    readonly targets: readonly RouteTarget[];
    /** Longest time that a request is kept waiting for its end. */
    readonly timeoutMs: Millis;
    /** Latency objective: to the answer, or to the first event of a stream. */
    readonly objectiveMs: Millis;
    /** Endpoints that one request may run on at most. */
    readonly maxTries: number;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** Whether requests need no key. */
    readonly isPublic: boolean;
};
