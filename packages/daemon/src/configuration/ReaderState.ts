import type { Millis } from "@azureshunt/core";
import type { ConfigurationState } from "@azureshunt/release";

/** How far this daemon has read the configuration stream, and how sure it is to know the newest revision. */
export type ReaderState = {
    readonly fold: ConfigurationState;
    /** Offset of the next read. Beyond the fold's offset while a snapshot is looked for behind expired records. */
    readonly cursor: number;
    /** Failed reads in a row. */
    readonly failures: number;
    /** When the fold's revision was last known to be the newest; undefined when it never was. */
    readonly confirmedAt: Millis | undefined;
    /** While set, the configuration is held back: peers and log are still being asked after a start. */
    readonly isStarting: boolean;
    /** Offset and time of the newest snapshot seen in the log; the time is undefined where it was not seen to come. */
    readonly snapshotOffset: number;
    readonly snapshotAt: Millis | undefined;
    /** Offset of the oldest record that the log still holds, as of the last read. */
    readonly logStart: number;
};
