import type { EndpointName, ModelName } from "@azureshunt/core";

/** An order to an engine to load new weights. */
export type WeightsOrder = {
    readonly endpoint: EndpointName;
    readonly model: ModelName;
    readonly version: number;
    /** Holder of the order lease. */
    readonly holder: string;
    /** Fencing token of the order lease. */
    readonly fence: number;
    /** Number of orders that the engine must have accepted before this one. */
    readonly ordersTaken: number;
};
