import { z } from "zod";

/** Switches of the KV cache store. */
const CacheSwitches = z.strictObject({
    /** The connection of every call is destroyed without an answer. */
    down: z.boolean().default(false),
    /** Delay before each call is handled. */
    latencyMs: z.number().min(0).default(0),
});
type CacheSwitches = z.infer<typeof CacheSwitches>;

export { CacheSwitches };
