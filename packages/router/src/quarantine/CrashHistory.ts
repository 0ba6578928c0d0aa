import type { Millis } from "@azureshunt/core";
import type { RequestFingerprint } from "@azureshunt/request";

/** Requests that were running on endpoints when these died. Times are of this VM's monotonic clock. */
export type CrashHistory = {
    /** By request: the endpoint deaths during which it was running, and when this VM learned of each. */
    readonly deaths: ReadonlyMap<RequestFingerprint, ReadonlyMap<string, Millis>>;
    /** Requests that are not run, and until when. */
    readonly quarantined: ReadonlyMap<RequestFingerprint, Millis>;
};
