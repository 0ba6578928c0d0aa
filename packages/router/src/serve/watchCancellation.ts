import type { ServerResponse } from "node:http";

import type { Millis } from "@azureshunt/core";
import { startTimeout } from "@azureshunt/lifecycle";

import type { CancelSignal } from "../dispatch/CancelSignal.js";
import { createCancellation } from "../dispatch/createCancellation.js";

/** Cancellation of a request: its caller disconnected before the answer was complete, or its deadline passed. */
type Cancellation = {
    readonly signal: CancelSignal;
    readonly isDeadlineExceeded: () => boolean;
    readonly release: () => void;
    /** Cancels the request for another reason. */
    readonly cancel: () => void;
};

/** Watches whether a request is cancelled before its answer ends, as its caller disconnects or its deadline passes. */
export function watchCancellation(res: ServerResponse, endsInMs: Millis): Cancellation {
    const controller = createCancellation();
    const state = { isDeadlineExceeded: false };
    const cancelTimeout = startTimeout(endsInMs, () => {
        state.isDeadlineExceeded = true;
        controller.abort();
    });
    const onClose = (): void => {
        if (!res.writableFinished) {
            controller.abort();
        }
    };
    res.on("close", onClose);
    if (res.req.socket.destroyed) {
        // The connection closed while the request was read; `close` is not emitted again.
        onClose();
    }
    const release = (): void => {
        cancelTimeout();
        res.removeListener("close", onClose);
    };
    return {
        signal: controller.signal,
        isDeadlineExceeded: () => state.isDeadlineExceeded,
        release,
        cancel: controller.abort,
    };
}
