import type { ServiceName } from "@azureshunt/core";

import type { EndpointRun } from "./EndpointRun.js";

/** An endpoint's run with its service, as it is registered; also one that is leaving. */
export type RegisteredRun = EndpointRun & { readonly service: ServiceName; };
