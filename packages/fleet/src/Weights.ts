import type { AdapterName, ModelName, WeightsVersion } from "@azureshunt/core";

/** Weights that an engine loads as a unit: those of a model, or of an adapter in addition to its model. */
export type Weights = {
    readonly model: ModelName;
    readonly adapter: AdapterName | undefined;
    readonly version: WeightsVersion;
};
