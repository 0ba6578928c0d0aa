import type { AdapterName, ModelName, WeightsVersion } from "@azureshunt/core";

/** Weights that an engine loads as one: a model's, or an adapter's beside it. */
export type Weights = {
    readonly model: ModelName;
    readonly adapter: AdapterName | undefined;
    readonly version: WeightsVersion;
};
