import { AdapterName, ModelName, WeightsVersion } from "@azureshunt/core";
import { z } from "zod";

const DEFAULT_PIECE_TOKENS = 4_096;
const DEFAULT_MAX_TOKENS = 256;

/** A model as declared by a release note: its weights and how its requests are handled. */
const ModelSpec = z.strictObject({
    /** Name that callers use in requests. */
    name: ModelName,
    /** Version of the weights that serves new requests. */
    version: WeightsVersion,
    /** Adapters that engines load in addition to the model; callers request `model:adapter`. */
    adapters: z.array(AdapterName).default([]),
    /** Number of tokens in one cached piece of a prompt. */
    pieceTokens: z.number().int().positive().default(DEFAULT_PIECE_TOKENS),
    /** Output tokens charged in advance if the caller sets no limit. */
    defaultMaxTokens: z.number().int().positive().default(DEFAULT_MAX_TOKENS),
    /** Replicas that must have loaded a new version before it serves requests; by default half of the endpoints. */
    minReplicas: z.number().int().positive().optional(),
});
type ModelSpec = z.infer<typeof ModelSpec>;

export { ModelSpec };
