import type { RecordId } from "@azureshunt/core";

import type { Configuration } from "./Configuration.js";
import type { ReleaseSummary } from "./ReleaseSummary.js";
import type { Verdict } from "./Verdict.js";

/** What folding the configuration stream up to an offset gives. Equal on every VM that folded as far. */
export type ConfigurationState = {
    readonly configuration: Configuration;
    /** Offset of the next record to fold. */
    readonly offset: number;
    /** Chained over the accepted notes, in hexadecimal. Two states of one revision have the same digest. */
    readonly digest: string;
    /** Records folded lately, the oldest first, so that a repeated record is ignored and an operator gets its answer. */
    readonly recent: ReadonlyMap<RecordId, Verdict>;
    /** Notes accepted lately, the oldest first. */
    readonly releases: readonly ReleaseSummary[];
};
