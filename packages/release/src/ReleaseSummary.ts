import { RecordId } from "@azureshunt/core";
import { z } from "zod";

/** Summary of an accepted release note, for lists. */
const ReleaseSummary = z.object({
    revision: z.number().int().positive(),
    id: RecordId,
    /** Its offset in the log, where the complete note can be read while the log retains it. */
    offset: z.number().int().min(0),
    /** When the log stored it, in milliseconds since the epoch; for display only. */
    at: z.number(),
    note: z.string(),
    /** Items that it touched, such as `added model llama`; of a long note only the first. */
    touched: z.array(z.string()),
    /** Number of all items that it touched. */
    touchedCount: z.number().int(),
});
type ReleaseSummary = z.infer<typeof ReleaseSummary>;

export { ReleaseSummary };
