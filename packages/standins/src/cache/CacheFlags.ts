import { z } from "zod";

import { CommonFlags } from "../common/CommonFlags.js";

/** Flags of the KV cache store. */
const CacheFlags = CommonFlags.extend({
    maxPieces: z.coerce.number().int().positive().default(4_096),
    latencyMs: z.coerce.number().min(0).default(0),
});
type CacheFlags = z.infer<typeof CacheFlags>;

export { CacheFlags };
