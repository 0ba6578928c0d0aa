import type { EndpointName, Millis, ModelName } from "@azureshunt/core";

/** An order that an engine executes. As in `EngineVersionRow`, the model is named only if the engine serves several. */
export type OrderedRow = readonly [engine: EndpointName, version: number, ageMs: Millis, model?: ModelName];
