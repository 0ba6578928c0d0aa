import { AdapterName, ModelName, WeightsVersion } from "@azureshunt/core";
import { z } from "zod";

const DEFAULT_PIECE_TOKENS = 4_096;
const DEFAULT_MAX_TOKENS = 256;

/** A model as a release note declares it: its weights, and the traffic that it takes. */
const ModelSpec = z.strictObject({
    /** Name that callers ask for. */
    name: ModelName,
    /** Version that new requests get. */
    version: WeightsVersion,
    /** Adapters that engines load beside the model; callers ask for `model:adapter`. */
    adapters: z.array(AdapterName).default([]),
    /** Tokens of one cached piece of a prompt. */
    pieceTokens: z.number().int().positive().default(DEFAULT_PIECE_TOKENS),
    /** Output tokens charged beforehand when the caller names no limit. */
    defaultMaxTokens: z.number().int().positive().default(DEFAULT_MAX_TOKENS),
    /** Replicas that must hold a new version before it takes the traffic; half of the endpoints when left out. */
    minReplicas: z.number().int().positive().optional(),
});
type ModelSpec = z.infer<typeof ModelSpec>;

export { ModelSpec };
