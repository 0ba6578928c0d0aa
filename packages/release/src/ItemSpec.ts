import type { EndpointSpec } from "./EndpointSpec.js";
import type { KeySpec } from "./KeySpec.js";
import type { ModelSpec } from "./ModelSpec.js";
import type { OrganisationSpec } from "./OrganisationSpec.js";
import type { ServiceSpec } from "./ServiceSpec.js";

/** Specification of an item of any kind. */
export type ItemSpec = OrganisationSpec | KeySpec | ModelSpec | ServiceSpec | EndpointSpec;
