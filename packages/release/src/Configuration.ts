import type { EndpointName, KeyId, ModelName, OrganisationId, ServiceName } from "@azureshunt/core";

import type { EndpointSpec } from "./EndpointSpec.js";
import type { KeySpec } from "./KeySpec.js";
import type { ModelSpec } from "./ModelSpec.js";
import type { OrganisationSpec } from "./OrganisationSpec.js";
import type { ServiceSpec } from "./ServiceSpec.js";

/** The whole configuration in force at a revision. Immutable: the fold makes a new one for each accepted note. */
export type Configuration = {
    /** Number of release notes accepted so far; 0 before the first. */
    readonly revision: number;
    readonly organisations: ReadonlyMap<OrganisationId, OrganisationSpec>;
    readonly keys: ReadonlyMap<KeyId, KeySpec>;
    readonly models: ReadonlyMap<ModelName, ModelSpec>;
    readonly services: ReadonlyMap<ServiceName, ServiceSpec>;
    readonly endpoints: ReadonlyMap<EndpointName, EndpointSpec>;
    /** Ids of withdrawn keys, so that a caller learns that its key was withdrawn rather than never known. */
    readonly withdrawnKeys: ReadonlyMap<KeyId, KeySpec>;
};
