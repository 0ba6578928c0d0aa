import type { OrganisationId, ServiceName } from "@azureshunt/core";

import type { Organisation } from "../../configuration/Organisation.js";
import type { Route } from "../../configuration/Route.js";
import type { RouteName } from "../../configuration/RouteName.js";
import type { RoutingConfiguration } from "../../configuration/RoutingConfiguration.js";

const SERVICE = "desk" as ServiceName;

/** A route on the host `a.example` to a service without a model. */
const plainRoute: Route = {
    name: "r" as RouteName,
    host: "a.example",
    pathPrefix: "/",
    kind: "idempotent",
    targets: [{ service: SERVICE, weight: 1 }],
    timeoutMs: 600,
    objectiveMs: 120,
    maxTries: 2,
    priority: 0,
    isPublic: false,
};

const organisation: Organisation = {
    id: "org" as OrganisationId,
    keys: ["key"],
    priority: undefined,
    isIsolated: false,
    countsRequests: false,
    ratePerSecond: undefined,
    burst: 0,
    defaultTokens: 1,
};

/** Returns a configuration with one organisation, whose key is `key`. */
export function routingOf(revision: number, routes: readonly Partial<Route>[]): RoutingConfiguration {
    return {
        revision,
        routes: routes.map(route => ({ ...plainRoute, ...route })),
        services: new Map([[SERVICE, {
            name: SERVICE,
            maxConnections: 96,
            engine: undefined,
            cacheStore: undefined,
        }]]),
        organisations: new Map([[organisation.id, organisation]]),
        needsKeys: true,
        ownerOfKey: new Map([["key", organisation.id]]),
        limits: { headerBytes: 16_384, bodyBytes: 1_000_000, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
    };
}
