import type { Millis } from "@azureshunt/core";

import type { HeapLevel } from "./HeapLevel.js";

/** What a VM has read of its heap. */
export type HeapReadings = {
    /** Bytes in use at the last reading, with what is not collected yet. */
    readonly usedBytes: number;
    /** Bytes in use after the last full collection; `undefined` before the first. */
    readonly liveBytes: number | undefined;
    readonly level: HeapLevel;
    /** Level and time of the last report. */
    readonly reported: { readonly level: HeapLevel; readonly at: Millis; };
};
