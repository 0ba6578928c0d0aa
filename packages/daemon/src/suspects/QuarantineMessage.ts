import { RequestFingerprint } from "@azureshunt/request";
import { z } from "zod";

import { DeathMessage } from "./DeathMessage.js";

/** Requests that are stopped, as VMs tell them to one another; an answer also holds the deaths not explained. */
const QuarantineMessage = z.object({
    requests: z.array(z.object({ fingerprint: RequestFingerprint, remainingMs: z.coerce.number() })).default([]),
    deaths: z.array(DeathMessage).default([]),
});
type QuarantineMessage = z.infer<typeof QuarantineMessage>;

export { QuarantineMessage };
