/** Release notes and the configuration that folding them gives. */
export type { Configuration } from "./Configuration.js";
export { EndpointSpec } from "./EndpointSpec.js";
export { KeySpec } from "./KeySpec.js";
export { ModelSpec } from "./ModelSpec.js";
export { OrganisationSpec } from "./OrganisationSpec.js";
export { ServiceSpec } from "./ServiceSpec.js";
