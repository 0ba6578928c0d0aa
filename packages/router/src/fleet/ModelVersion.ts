import type { ModelName } from "@azureshunt/core";

/** A version of one model's weights. Versions of two models have no order between them. */
export type ModelVersion = {
    readonly model: ModelName;
    readonly version: number;
};
