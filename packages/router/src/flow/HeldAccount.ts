import type { IncomingMessage, ServerResponse } from "node:http";

import type { Millis } from "@azureshunt/core";
import type { HeldRequest } from "@azureshunt/flow";

/** Why a request is cut off. */
type CutReason = "memory" | "unread-at-deadline";

/** What this VM buffers for one request. */
export type HeldAccount = HeldRequest & {
    /** What the request's head takes beside `bytes`. */
    readonly headBytes: number;
    /** Since when an answer or a large event has been read that is sent only once it is whole. */
    answerSince: Millis | undefined;
    /** Since when something waits that was sent to the caller. */
    sentSince: Millis | undefined;
    isRepeatable: boolean;
    /** After it, an answer that its caller does not read is cut off. */
    deadline: Millis;
    /** The endpoint's answer while it is being read; what Node has buffered of it counts too. */
    source: IncomingMessage | undefined;
    /** Called once when the budget has room again. */
    onBudgetRoom: (() => void) | undefined;
    /** Cuts the request off, so that its answer does not look complete. */
    cut: (reason: CutReason) => void;
    /** Says that the answer is not read until the budget has room, or its turn has come. */
    readonly waitForRoom: () => void;
    readonly add: (bytes: number) => void;
    /** What has come of the request's body and is held. */
    readonly bodyBytes: number;
    readonly addBody: (bytes: number) => void;
    /** Frees the body once no further try can need it. */
    readonly releaseBody: () => void;
    /** Counts anew what Node has buffered; the system takes it without an event. */
    readonly measure: () => void;
    /**
     * Number of bytes that may wait for the caller before its endpoint is not read any more.
     *
     * @param isReadWhole whether the answer is sent only once it is whole
     */
    readonly readAhead: (isReadWhole?: boolean) => number;
    /** Number of log lines that are buffered for the request; none if omitted. */
    notes?: () => number;
    readonly res: ServerResponse;
};
