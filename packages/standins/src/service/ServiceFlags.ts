import { z } from "zod";

import { CommonFlags } from "../common/CommonFlags.js";

/** Flags of a plain service. */
const ServiceFlags = CommonFlags.extend({
    delayMs: z.coerce.number().min(0).default(0),
    crashOn: z.coerce.string().default(""),
});
type ServiceFlags = z.infer<typeof ServiceFlags>;

export { ServiceFlags };
