import { Incarnation, OrganisationId, RecordId, VmId } from "@azureshunt/core";
import { z } from "zod";

import { IntentOutcome } from "./IntentOutcome.js";
import { KeyDigest } from "./KeyDigest.js";

/** The intent that owns a key. Only the process that wrote it may dispatch the request. */
const IntentEntry = z.object({
    intentId: RecordId,
    organisation: OrganisationId,
    key: KeyDigest,
    /** Digest of method, path and body, to detect a different request that uses the same key. */
    fingerprint: z.string(),
    vm: VmId,
    incarnation: Incarnation,
    /** The log's timestamp of the intent, in milliseconds since the epoch. */
    at: z.number(),
    outcome: IntentOutcome.optional(),
});
type IntentEntry = z.infer<typeof IntentEntry>;

export { IntentEntry };
