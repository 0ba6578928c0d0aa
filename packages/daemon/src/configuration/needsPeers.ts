import type { Millis } from "@azureshunt/core";

import type { ReaderState } from "./ReaderState.js";

/** Twice the long-poll time of a read, so a log that is reachable has answered by then. */
const LOG_SILENT_MS = 2_000;

/**
 * Returns whether this daemon depends on its peers for the configuration, because the log does not provide it.
 *
 * A snapshot is large: 7 MB with 21,000 organisations of two keys each. If daemons pulled one for each change that
 * arrives by gossip before it arrives from the log, 510 changes a day would exceed the limit on the control traffic of
 * a VM.
 */
export function needsPeers(state: ReaderState, now: Millis): boolean {
    const { confirmedAt, failures, cursor, fold } = state;
    const isLogSilent = confirmedAt === undefined || now - confirmedAt > LOG_SILENT_MS;
    return isLogSilent || failures > 0 || cursor > fold.offset;
}
