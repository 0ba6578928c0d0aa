import { RecordId } from "@azureshunt/core";
import { z } from "zod";

/** An accepted release note, as lists show it. */
const ReleaseSummary = z.object({
    revision: z.number().int().positive(),
    id: RecordId,
    /** Its place in the log, where the whole note can be read while the log keeps it. */
    offset: z.number().int().min(0),
    /** When the platform took it: milliseconds since the epoch, for people only. */
    at: z.number(),
    note: z.string(),
    /** What it touched, such as `added model llama`; the first ones of a long note. */
    touched: z.array(z.string()),
    /** How many items it touched. */
    touchedCount: z.number().int(),
});
type ReleaseSummary = z.infer<typeof ReleaseSummary>;

export { ReleaseSummary };
