import type { ModelName } from "@azureshunt/core";

/** An engine's report on itself. */
export type EngineReport = {
    readonly versions: ReadonlyMap<ModelName, number>;
    /** Whether the engine is executing an order. */
    readonly isBusy: boolean;
    /** Number of orders that the engine has accepted since its start. */
    readonly ordersTaken: number;
    /** The engine's start, in milliseconds since the epoch; undefined if the report does not state it. */
    readonly bornAt: number | undefined;
};
