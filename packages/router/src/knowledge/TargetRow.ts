import type { Millis, ModelName } from "@azureshunt/core";

/**
 * Target weights as VMs tell each other: model, version, and for how long a VM has known them. Earlier versions of the
 * router do not state that time.
 */
export type TargetRow = readonly [ModelName, number, Millis?];
