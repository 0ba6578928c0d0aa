import { startTimeout } from "@azureshunt/lifecycle";
import { errors } from "undici";
import type { Dispatcher } from "undici";

const UNSET = (): void => undefined;

/**
 * Lets a dispatcher's `headersTimeout` and `bodyTimeout` end a request only once what has arrived by then has been read.
 * undici's own timers run first after a time in which the process did not run, and give up answers that lie unread. The time
 * counts from when the request is sent, and not while the body's reader holds it back; 0 or `undefined` is no limit.
 */
const judgeSilence: Dispatcher.DispatcherComposeInterceptor = dispatch => (opts, handler) => {
    const { headersTimeout, bodyTimeout } = opts;
    const state = { abort: UNSET as (err?: Error) => void, cancel: UNSET };
    const wait = (ms: number | null | undefined, errorOf: () => Error): void => {
        state.cancel();
        state.cancel = typeof ms === "number" && ms > 0 ? startTimeout(ms, () => state.abort(errorOf())) : UNSET;
    };
    const waitForHead = (): void => wait(headersTimeout, () => new errors.HeadersTimeoutError());
    const waitForBody = (): void => wait(bodyTimeout, () => new errors.BodyTimeoutError());
    const waitUnlessHeld = (isRead: boolean): boolean => {
        if (isRead) {
            waitForBody();
        }
        else {
            state.cancel();
        }
        return isRead;
    };
    return dispatch({ ...opts, headersTimeout: 0, bodyTimeout: 0 }, {
        onConnect: abort => {
            state.abort = abort;
            waitForHead();
            handler.onConnect?.(abort);
        },
        onResponseStarted: () => handler.onResponseStarted?.(),
        onUpgrade: (statusCode, headers, socket) => {
            state.cancel();
            handler.onUpgrade?.(statusCode, headers, socket);
        },
        onHeaders: (statusCode, headers, resume, statusText) => {
            const resumeAndWait = (): void => {
                waitForBody();
                resume();
            };
            const isRead = handler.onHeaders?.(statusCode, headers, resumeAndWait, statusText) ?? true;
            return statusCode < 200 ? isRead : waitUnlessHeld(isRead);
        },
        onData: chunk => waitUnlessHeld(handler.onData?.(chunk) ?? true),
        onComplete: trailers => {
            state.cancel();
            handler.onComplete?.(trailers);
        },
        onError: err => {
            state.cancel();
            handler.onError?.(err);
        },
    });
};

export { judgeSilence };
