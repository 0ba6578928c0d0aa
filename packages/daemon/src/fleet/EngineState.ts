import { AdapterName, ModelName, WeightsVersion } from "@azureshunt/core";
import { z } from "zod";

const Weights = z.object({
    model: ModelName,
    adapter: AdapterName.nullish(),
    version: WeightsVersion,
}).transform(({ model, adapter, version }) => ({ model, adapter: adapter ?? undefined, version }));

/** The weights that an engine holds and loads, as it reports them. */
const EngineState = z.object({
    holds: z.array(Weights),
    loading: z.array(Weights).default([]),
});
type EngineState = z.infer<typeof EngineState>;

export { EngineState };
