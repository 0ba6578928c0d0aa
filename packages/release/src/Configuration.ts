import type { EndpointName, KeyId, ModelName, OrganisationId, ServiceName } from "@azureshunt/core";

import type { EndpointSpec } from "./EndpointSpec.js";
import type { KeySpec } from "./KeySpec.js";
import type { ModelSpec } from "./ModelSpec.js";
import type { OrganisationSpec } from "./OrganisationSpec.js";
import type { ServiceSpec } from "./ServiceSpec.js";

/** The complete configuration at a revision. Immutable: each accepted release note results in a new one. */
export type Configuration = {
    /** Number of release notes accepted so far; 0 before the first. */
    readonly revision: number;
    readonly organisations: ReadonlyMap<OrganisationId, OrganisationSpec>;
    readonly keys: ReadonlyMap<KeyId, KeySpec>;
    readonly models: ReadonlyMap<ModelName, ModelSpec>;
    readonly services: ReadonlyMap<ServiceName, ServiceSpec>;
    readonly endpoints: ReadonlyMap<EndpointName, EndpointSpec>;
    /** Withdrawn keys, so that a caller is told that its key was withdrawn and not that it is unknown. */
    readonly withdrawnKeys: ReadonlyMap<KeyId, KeySpec>;
};
