import type { ModelName } from "@azureshunt/core";

/** What an engine reports of itself. */
export type EngineReport = {
    readonly versions: ReadonlyMap<ModelName, number>;
    /** Whether it is carrying out an order. */
    readonly isBusy: boolean;
    readonly ordersTaken: number;
};
