import type { IntentEntry } from "./IntentEntry.js";
import type { KeyDigest } from "./KeyDigest.js";

/** State of one partition after folding its records up to an offset. */
export type IntentPartition = {
    /** Offset of the next record to fold. */
    readonly next: number;
    /** The log's timestamp of the last record folded. */
    readonly lastAt: number;
    /** The log's timestamp from which on all records are known. Records older than the window need not be known. */
    readonly completeFrom: number;
    readonly entries: ReadonlyMap<KeyDigest, IntentEntry>;
};
