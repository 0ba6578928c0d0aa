import type { Millis } from "@azureshunt/core";
import type { RequestFingerprint } from "@azureshunt/request";

/** What is known of requests that were running on endpoints when these died. Times are of this VM's monotonic clock. */
export type CrashNotes = {
    /** By request: the deaths of endpoints that it was present at, and when each was learnt of. */
    readonly deaths: ReadonlyMap<RequestFingerprint, ReadonlyMap<string, Millis>>;
    /** Requests that are not run any more, and until when. */
    readonly stopped: ReadonlyMap<RequestFingerprint, Millis>;
};
