import type { EndpointFigures } from "./EndpointFigures.js";
import type { ServiceFigures } from "./ServiceFigures.js";

/** What a VM knows of an endpoint's speed. */
export type PerformanceModel = {
    readonly service: ServiceFigures;
    /** Undefined while nothing was observed of this incarnation: the service's figures apply. */
    readonly endpoint: EndpointFigures | undefined;
};
