import type { Millis } from "@azureshunt/core";
import type { ConfigurationState } from "@azureshunt/release";

/** How far this daemon has read the configuration stream, and when its revision was last confirmed as the newest. */
export type ReaderState = {
    readonly fold: ConfigurationState;
    /** Offset of the next read. Greater than the fold's offset while searching for a snapshot after records expired. */
    readonly cursor: number;
    /** Number of consecutive failed reads. */
    readonly failures: number;
    /** When the fold's revision was last known to be the newest; `undefined` until then. */
    readonly confirmedAt: Millis | undefined;
    /** Whether the configuration is not published yet, as peers and log are still being queried after the start. */
    readonly isStarting: boolean;
    /** Offset and time of the newest snapshot in the log; the time is `undefined` unless its arrival was observed. */
    readonly snapshotOffset: number;
    readonly snapshotAt: Millis | undefined;
    /** Offset of the oldest record that the log still holds, as of the last read. */
    readonly logStart: number;
};
