import type { RecordId } from "@azureshunt/core";

import type { IntentRecord } from "./IntentRecord.js";

/** A record of an intent partition as read from the log. */
export type LoggedIntent = {
    readonly offset: number;
    readonly id: RecordId;
    /** The log's timestamp, in milliseconds since the epoch. */
    readonly at: number;
    /** `undefined` if this version does not know the kind of record. */
    readonly record: IntentRecord | undefined;
};
