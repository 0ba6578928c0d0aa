import type { EndpointName, Millis, ModelName } from "@azureshunt/core";

/** On what a VM decides about an engine's weights for one model, as log lines show it. */
export type WeightsBasis = {
    readonly endpoint: EndpointName;
    readonly model: ModelName;
    /** Version that the engine is taken to hold. */
    readonly version: number | undefined;
    /** Who stated that version: `entry`, `engine`, or the VM that reported it. */
    readonly by: string;
    /** Time since it was last confirmed. */
    readonly ageMs: Millis;
    /** Version that the engine's entry states. */
    readonly entryVersion: number | undefined;
    /** Version that the engine is ordered to load; `undefined` if no order keeps requests from it. */
    readonly ordered: number | undefined;
    readonly outdatedMs: Millis | undefined;
};
