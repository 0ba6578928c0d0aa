import type { Millis } from "@azureshunt/core";

import type { ReaderState } from "./ReaderState.js";

/** Twice the time that a read waits at the log: beyond it, the log has not answered as it does when it is in reach. */
const QUIET_MS = 2_000;

/**
 * Tells whether this daemon depends on its peers for the configuration, as the log does not give it.
 *
 * A snapshot is large: at 21,000 organisations with two keys each it is 7 MB. Were it pulled for each change that
 * gossip tells of before the log does, 510 changes a day would cost each VM more than all its control traffic may.
 */
export function needsPeers(state: ReaderState, now: Millis): boolean {
    const { confirmedAt, failures, cursor, fold } = state;
    const isQuiet = confirmedAt === undefined || now - confirmedAt > QUIET_MS;
    return isQuiet || failures > 0 || cursor > fold.offset;
}
