import type { OrganisationId, ServiceName } from "@azureshunt/core";

import type { CallerLimits } from "./CallerLimits.js";
import type { Organisation } from "./Organisation.js";
import type { Route } from "./Route.js";
import type { Service } from "./Service.js";

/** All that the operators declared, at one revision. */
export type RoutingConfiguration = {
    /** Grows with each change, by one or more. */
    readonly revision: number;
    readonly routes: readonly Route[];
    readonly services: ReadonlyMap<ServiceName, Service>;
    readonly organisations: ReadonlyMap<OrganisationId, Organisation>;
    /** Whether requests need keys at all. */
    readonly needsKeys: boolean;
    readonly ownerOfKey: ReadonlyMap<string, OrganisationId>;
    readonly limits: CallerLimits;
};
