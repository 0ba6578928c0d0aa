import { RequestFingerprint } from "@azureshunt/request";
import { z } from "zod";

import { DeathMessage } from "./DeathMessage.js";

/** Quarantined requests as VMs exchange them; an answer also lists the deaths that are not explained yet. */
const QuarantineMessage = z.object({
    requests: z.array(z.object({ fingerprint: RequestFingerprint, remainingMs: z.coerce.number() })).default([]),
    deaths: z.array(DeathMessage).default([]),
});
type QuarantineMessage = z.infer<typeof QuarantineMessage>;

export { QuarantineMessage };
