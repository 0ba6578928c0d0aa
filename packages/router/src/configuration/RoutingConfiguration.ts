import type { OrganisationId, ServiceName } from "@azureshunt/core";

import type { CallerLimits } from "./CallerLimits.js";
import type { Organisation } from "./Organisation.js";
import type { Route } from "./Route.js";
import type { Service } from "./Service.js";

/** One revision of the configuration that the operators declared. */
export type RoutingConfiguration = {
    /** Increases by one or more with each change. */
    readonly revision: number;
    readonly routes: readonly Route[];
    readonly services: ReadonlyMap<ServiceName, Service>;
    readonly organisations: ReadonlyMap<OrganisationId, Organisation>;
    /** Whether requests need keys, except on public routes. */
    readonly needsKeys: boolean;
    readonly ownerOfKey: ReadonlyMap<string, OrganisationId>;
    readonly limits: CallerLimits;
};
