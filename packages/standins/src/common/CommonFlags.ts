import { z } from "zod";

const DEFAULT_SEED = 1;

/** Flags that every stand-in accepts. */
const CommonFlags = z.object({
    host: z.string().default("127.0.0.1"),
    port: z.coerce.number().int().min(0).max(65_535).default(0),
    name: z.string().default("standin"),
    failureDomain: z.string().default("fd-1"),
    seed: z.coerce.number().int().default(DEFAULT_SEED),
    history: z.string().optional(),
});
type CommonFlags = z.infer<typeof CommonFlags>;

export { CommonFlags };
