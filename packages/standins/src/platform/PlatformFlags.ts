import { z } from "zod";

import { CommonFlags } from "../common/CommonFlags.js";

const HOUR_MS = 3_600_000;

/** Flags of the platform. */
const PlatformFlags = CommonFlags.extend({
    retainCount: z.coerce.number().int().positive().default(100_000),
    retainMs: z.coerce.number().positive().default(HOUR_MS),
    appendsPerSecond: z.coerce.number().int().positive().default(400),
    latencyMs: z.coerce.number().min(0).default(0),
    vmLagMs: z.coerce.number().min(0).default(0),
    weightsMs: z.coerce.number().min(0).default(500),
});
type PlatformFlags = z.infer<typeof PlatformFlags>;

export { PlatformFlags };
