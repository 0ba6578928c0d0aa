import type { Millis } from "@azureshunt/core";

/** What a VM buffers for one request. */
export type HeldRequest = {
    readonly bytes: number;
    /** Since when its caller has read nothing although there is something to read; `undefined` if nothing waits for it. */
    readonly unreadSince: Millis | undefined;
    /** Since when an answer has been read that is sent only once it is whole; `undefined` if there is none. */
    readonly answerSince: Millis | undefined;
    /** Whether the request may run again, so that its answer may be cut off. */
    readonly isRepeatable: boolean;
};
