import { RecordId } from "@azureshunt/core";
import { z } from "zod";

import { KeySpec } from "./KeySpec.js";
import { NoteItems } from "./NoteItems.js";
import { ReleaseSummary } from "./ReleaseSummary.js";
import { Verdict } from "./Verdict.js";

/** A complete `ConfigurationState` as JSON: data of a snapshot record, and of a daemon's answer to an outdated peer. */
const SnapshotData = z.object({
    kind: z.literal("snapshot"),
    /** Offset of the first record that is not included. */
    offset: z.number().int().min(0),
    revision: z.number().int().min(0),
    digest: z.string().regex(/^[0-9a-f]{64}$/),
    items: NoteItems,
    withdrawnKeys: z.array(KeySpec),
    recent: z.array(z.object({ id: RecordId, verdict: Verdict })),
    releases: z.array(ReleaseSummary),
});
type SnapshotData = z.infer<typeof SnapshotData>;

export { SnapshotData };
