import { RecordId } from "@azureshunt/core";
import { z } from "zod";

import { IntentEntry } from "./IntentEntry.js";
import { IntentOutcome } from "./IntentOutcome.js";
import { KeyDigest } from "./KeyDigest.js";

const Intent = IntentEntry.omit({ intentId: true, at: true, outcome: true }).extend({ type: z.literal("intent") });

/** Written by the owner alone, and only when no byte of the request has gone out. */
const Withdrawn = z.object({ type: z.literal("withdrawn"), intentId: RecordId, key: KeyDigest });

/** Written by the owner alone. */
const Outcome = z.object({
    type: z.literal("outcome"),
    intentId: RecordId,
    key: KeyDigest,
    outcome: IntentOutcome,
});

/** One part of what a VM knew of a partition. */
const Snapshot = z.object({
    type: z.literal("snapshot"),
    snapshotId: RecordId,
    part: z.number().int(),
    parts: z.number().int(),
    /** Offset of the first record that it does not hold. */
    upTo: z.number().int(),
    /** The log's time from which on every record is known to its writer. */
    vouchedFrom: z.number(),
    entries: z.array(IntentEntry),
});

/** A record of an intent partition. An intent's id is the id of its log record. */
const IntentRecord = z.discriminatedUnion("type", [Intent, Withdrawn, Outcome, Snapshot]);
type IntentRecord = z.infer<typeof IntentRecord>;

export { IntentRecord };
