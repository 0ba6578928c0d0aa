import { initialState } from "@azureshunt/release";

import type { ReaderState } from "./ReaderState.js";

/** State of the reader when a daemon starts; nothing is kept across restarts. */
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
