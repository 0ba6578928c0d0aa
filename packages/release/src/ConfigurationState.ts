import type { RecordId } from "@azureshunt/core";

import type { Configuration } from "./Configuration.js";
import type { ReleaseSummary } from "./ReleaseSummary.js";
import type { Verdict } from "./Verdict.js";

/** Result of folding the configuration stream up to an offset. Equal on all VMs at the same offset. */
export type ConfigurationState = {
    readonly configuration: Configuration;
    /** Offset of the next record to fold. */
    readonly offset: number;
    /** Hexadecimal digest chained over the accepted notes. Two states of the same revision have the same digest. */
    readonly digest: string;
    /** Verdicts of recent records, oldest first, so that a repeated record is ignored and gets the same answer. */
    readonly recent: ReadonlyMap<RecordId, Verdict>;
    /** Recently accepted notes, oldest first. */
    readonly releases: readonly ReleaseSummary[];
};
