import { initialState } from "@azureshunt/release";

import type { ReaderState } from "./ReaderState.js";

/** The reader at the start of a daemon, which keeps nothing. */
const initialReader: ReaderState = {
    fold: initialState,
    cursor: 0,
    failures: 0,
    confirmedAt: undefined,
    isStarting: true,
    snapshotOffset: -1,
    snapshotAt: undefined,
    logStart: 0,
};

export { initialReader };
