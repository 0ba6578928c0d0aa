import { z } from "zod";

/** Switches of the KV cache store. */
const CacheSwitches = z.strictObject({
    /** Connections of calls are destroyed. */
    down: z.boolean().default(false),
    /** Milliseconds that each call takes. */
    latencyMs: z.number().min(0).default(0),
});
type CacheSwitches = z.infer<typeof CacheSwitches>;

export { CacheSwitches };
