import type { EndpointName, ModelName } from "@azureshunt/core";

/**
 * Version of the weights that an engine is known to have loaded. A row names its model only if the engine serves several, as
 * the receiver knows the only one: that keeps rows short, and readable for VMs of earlier versions, which name none.
 */
export type EngineVersionRow = readonly [engine: EndpointName, version: number, model?: ModelName];
