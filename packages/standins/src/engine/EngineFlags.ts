import { z } from "zod";

import { CommonFlags } from "../common/CommonFlags.js";

/** Flags of a model engine. */
const EngineFlags = CommonFlags.extend({
    holds: z.string().default("advisor@v1"),
    prefillUsPerToken: z.coerce.number().min(0).default(30),
    decodeMsPerToken: z.coerce.number().min(0).default(10),
    prefillChunk: z.coerce.number().int().positive().default(1_024),
    maxBatch: z.coerce.number().int().positive().default(32),
    maxPieces: z.coerce.number().int().min(0).default(256),
    pieceTokens: z.coerce.number().int().positive().default(4_096),
    pieceIdleMs: z.coerce.number().positive().default(3_600_000),
    maxAnswerTokens: z.coerce.number().int().positive().default(4_096),
    eventLagMs: z.coerce.number().min(0).default(0),
    eventLoss: z.coerce.number().min(0).max(1).default(0),
    loadLagMs: z.coerce.number().min(0).default(0),
    coldStartMs: z.coerce.number().min(0).default(0),
    checksFencing: z.boolean().default(false),
    weightsUrl: z.string().optional(),
    kvStore: z.string().optional(),
    kvBytes: z.coerce.number().int().positive().default(4_096),
    kvImportMs: z.coerce.number().min(0).default(0),
    crashOn: z.coerce.string().default(""),
    role: z.string().default("serve"),
});
type EngineFlags = z.infer<typeof EngineFlags>;

export { EngineFlags };
