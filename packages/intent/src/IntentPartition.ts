import type { IntentEntry } from "./IntentEntry.js";
import type { KeyDigest } from "./KeyDigest.js";

/** What the records of one partition say, read up to an offset. */
export type IntentPartition = {
    /** Offset of the next record to fold. */
    readonly next: number;
    /** The log's time of the last record folded. */
    readonly lastAt: number;
    /** The log's time from which on every record is known; keys older than the window need no vouching. */
    readonly vouchedFrom: number;
    readonly entries: ReadonlyMap<KeyDigest, IntentEntry>;
};
