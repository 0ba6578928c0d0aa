import { createEventSplitter } from "../dispatch/createEventSplitter.js";
import { isComplete } from "../dispatch/isComplete.js";
import type { OpenedCall } from "../dispatch/OpenedCall.js";
import type { TryOutcome } from "../dispatch/TryOutcome.js";
import type { ServedRequest } from "./ServedRequest.js";
import type { StreamHooks } from "./StreamHooks.js";
import type { StreamProgress } from "./StreamProgress.js";

/** A stream ends after this much more silence even if its endpoint is alive: its connection is lost. */
const LOST_CONNECTION_MS = 500;

type StreamParts = StreamHooks & {
    readonly served: ServedRequest;
    readonly opened: Extract<OpenedCall, { readonly kind: "head"; }>;
    readonly progress: StreamProgress;
    /** Silence after which the stream continues at another endpoint; `undefined` if it cannot. */
    readonly silenceMs: number | undefined;
    /** Sends the head of the answer, before the first event. */
    readonly sendHead: () => void;
};

/**
 * Forwards a stream's events to the caller as they arrive, complete and in order.
 *
 * If an endpoint stops in mid-event, or another one continues the stream and repeats or omits an event, the caller
 * would read a text that no endpoint generated. To prevent this, only complete events are forwarded, and each id must
 * follow the one before; the stream ends as complete only if the endpoint ended it as such.
 */
export function forwardStream(parts: StreamParts): Promise<TryOutcome> {
    const { served, opened, progress } = parts;
    const { res } = opened;
    const splitter = createEventSplitter();
    return new Promise(resolve => {
        const state = { timer: undefined as NodeJS.Timeout | undefined, isFirst: true };
        const settle = (kind: TryOutcome): void => {
            clearTimeout(state.timer);
            unregister();
            resolve(kind);
        };
        const endTry = (kind: TryOutcome): void => {
            settle(kind);
            res.destroy();
        };
        const unregister = parts.onMove(() => endTry("moved"));
        const onSilence = (): void => {
            if (parts.isAlive()) {
                state.timer = setTimeout(() => endTry("silent"), LOST_CONNECTION_MS);
                return;
            }
            endTry("silent");
        };
        const restartSilenceTimer = (): void => {
            clearTimeout(state.timer);
            if (parts.silenceMs !== undefined) {
                state.timer = setTimeout(onSilence, parts.silenceMs);
            }
        };
        const isNext = (id: number | undefined): boolean =>
            id === undefined || progress.lastEventId === undefined || id === progress.lastEventId + 1;
        const forward = (event: { readonly bytes: Buffer; readonly id: number | undefined; }): boolean => {
            if (!isNext(event.id)) {
                endTry("garbled");
                return false;
            }
            if (state.isFirst) {
                state.isFirst = false;
                parts.onFirstEvent();
                parts.sendHead();
            }
            served.res.write(event.bytes, progress.pace.startSend());
            progress.forwardedEvents += 1;
            progress.lastEventId = event.id ?? progress.lastEventId;
            return true;
        };
        restartSilenceTimer();
        res.on("data", (chunk: Buffer) => {
            parts.onActivity();
            restartSilenceTimer();
            splitter.push(chunk).every(forward);
        });
        res.on("error", () => settle(served.signal.aborted ? "cancelled" : "broken"));
        res.on("close", () => settle(served.signal.aborted ? "cancelled" : "broken"));
        res.on("end", () => {
            const isAnswerComplete = isComplete(opened) && splitter.bufferedBytes() === 0;
            settle(isAnswerComplete ? "answered" : "broken");
        });
    });
}
