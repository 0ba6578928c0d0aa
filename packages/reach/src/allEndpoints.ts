import type { EndpointGroup } from "./EndpointGroup.js";

/** The group of all endpoints. */
const allEndpoints = "all" as EndpointGroup;

export { allEndpoints };
