import { RecordId } from "@azureshunt/core";
import { z } from "zod";

import { IntentEntry } from "./IntentEntry.js";
import { IntentOutcome } from "./IntentOutcome.js";
import { KeyDigest } from "./KeyDigest.js";

const Intent = IntentEntry.omit({ intentId: true, at: true, outcome: true }).extend({ type: z.literal("intent") });

/** Written only by the owner, and only if no byte of the request has been sent. */
const Withdrawn = z.object({ type: z.literal("withdrawn"), intentId: RecordId, key: KeyDigest });

/** Written only by the owner. */
const Outcome = z.object({
    type: z.literal("outcome"),
    intentId: RecordId,
    key: KeyDigest,
    outcome: IntentOutcome,
});

/** One part of a snapshot of a partition, as known to the VM that wrote it. */
const Snapshot = z.object({
    type: z.literal("snapshot"),
    snapshotId: RecordId,
    part: z.number().int(),
    parts: z.number().int(),
    /** Offset of the first record that is not included. */
    upTo: z.number().int(),
    /** The log's timestamp from which on all records were known to the writer. */
    vouchedFrom: z.number(),
    entries: z.array(IntentEntry),
});

/** A record of an intent partition. The id of an intent is the id of its log record. */
const IntentRecord = z.discriminatedUnion("type", [Intent, Withdrawn, Outcome, Snapshot]);
type IntentRecord = z.infer<typeof IntentRecord>;

export { IntentRecord };
