import type { AdapterName, ModelName, WeightsVersion } from "@azureshunt/core";

/** Weights that an endpoint has loaded. */
export type HeldWeights = {
    readonly model: ModelName;
    readonly adapter: AdapterName | undefined;
    readonly version: WeightsVersion;
};
