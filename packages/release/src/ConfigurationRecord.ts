import type { RecordId } from "@azureshunt/core";

/** One record of the configuration stream, as read from the log. `data` is not validated. */
export type ConfigurationRecord = {
    readonly offset: number;
    readonly id: RecordId;
    /** When the log stored it, in milliseconds since the epoch; for display only, not used in decisions. */
    readonly at: number;
    readonly data: unknown;
};
