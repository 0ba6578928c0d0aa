import type { ServerResponse } from "node:http";

import type { Millis } from "@azureshunt/core";

/** A caller's connection that was closed before the answer was whole, or time that ran out. */
type Ending = { readonly signal: AbortSignal; readonly isTimeUp: () => boolean; readonly release: () => void; };

/** Watches for a request's end before its answer: its caller leaves, or the time that it has is over. */
export function watchEnding(res: ServerResponse, endsInMs: Millis): Ending {
    const controller = new AbortController();
    const state = { isTimeUp: false };
    const timer = setTimeout(() => {
        state.isTimeUp = true;
        controller.abort();
    }, endsInMs);
    const onClose = (): void => {
        if (!res.writableFinished) {
            controller.abort();
        }
    };
    res.once("close", onClose);
    const release = (): void => {
        clearTimeout(timer);
        res.removeListener("close", onClose);
    };
    return { signal: controller.signal, isTimeUp: () => state.isTimeUp, release };
}
