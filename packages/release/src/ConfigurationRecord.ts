import type { RecordId } from "@azureshunt/core";

/** One record of the configuration stream, as the log gives it. `data` may be anything. */
export type ConfigurationRecord = {
    readonly offset: number;
    readonly id: RecordId;
    /** When the log took it, in milliseconds since the epoch; shown to people, never decided by. */
    readonly at: number;
    readonly data: unknown;
};
