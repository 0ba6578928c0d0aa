import type { RecordId } from "@azureshunt/core";

import type { IntentRecord } from "./IntentRecord.js";

/** A record of an intent partition as the log gives it back. */
export type LoggedIntent = {
    readonly offset: number;
    readonly id: RecordId;
    /** The log's time in milliseconds since the epoch. */
    readonly at: number;
    /** Undefined for a record of a kind that this version does not know. */
    readonly record: IntentRecord | undefined;
};
