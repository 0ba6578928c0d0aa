import type { EndpointName, ModelName } from "@azureshunt/core";

/** An order to take new weights. */
export type WeightsOrder = {
    readonly endpoint: EndpointName;
    readonly model: ModelName;
    readonly version: number;
    readonly holder: string;
    readonly fence: number;
    readonly ordersTaken: number;
};
