import { createEventSplitter } from "../dispatch/createEventSplitter.js";
import { endsWhole } from "../dispatch/endsWhole.js";
import type { OpenedCall } from "../dispatch/OpenedCall.js";
import type { TryOutcome } from "../dispatch/TryOutcome.js";
import type { ServedRequest } from "./ServedRequest.js";
import type { StreamProgress } from "./StreamProgress.js";
import type { StreamSigns } from "./StreamSigns.js";

/** A stream that is silent for so many rounds is given up also where its endpoint lives: its connection is lost. */
const BUSY_ROUNDS = 2;

type StreamParts = StreamSigns & {
    readonly served: ServedRequest;
    readonly opened: Extract<OpenedCall, { readonly kind: "head"; }>;
    readonly progress: StreamProgress;
    /** Silence after which the stream is gone on with elsewhere; undefined where it cannot be. */
    readonly silenceMs: number | undefined;
    /** Sends the head of the answer, before the first event. */
    readonly sendHead: () => void;
};

/**
 * Passes a stream's events to the caller as they come, whole and in order.
 *
 * Failure: an endpoint stops in mid-event, or another one goes on and repeats an event or leaves one out; the caller
 * would read a text that no endpoint wrote. Guard: only whole events pass, and each id must follow the one before; the
 * stream ends as complete only if the endpoint ended it so.
 */
export function passStream(parts: StreamParts): Promise<TryOutcome> {
    const { served, opened, progress } = parts;
    const { res } = opened;
    const splitter = createEventSplitter();
    return new Promise(resolve => {
        const state = { timer: undefined as NodeJS.Timeout | undefined, isFirst: true };
        const settle = (kind: TryOutcome): void => {
            clearTimeout(state.timer);
            release();
            resolve(kind);
        };
        const stop = (kind: TryOutcome): void => {
            settle(kind);
            res.destroy();
        };
        const release = parts.onMove(() => stop("moved"));
        const quiet = { rounds: 0 };
        const onQuiet = (): void => {
            quiet.rounds += 1;
            if (parts.isAlive() && quiet.rounds < BUSY_ROUNDS) {
                state.timer = setTimeout(onQuiet, parts.silenceMs);
                return;
            }
            stop("silent");
        };
        const watch = (): void => {
            clearTimeout(state.timer);
            quiet.rounds = 0;
            if (parts.silenceMs !== undefined) {
                state.timer = setTimeout(onQuiet, parts.silenceMs);
            }
        };
        const isNext = (id: number | undefined): boolean =>
            id === undefined || progress.lastEventId === undefined || id === progress.lastEventId + 1;
        const pass = (event: { readonly bytes: Buffer; readonly id: number | undefined; }): boolean => {
            if (!isNext(event.id)) {
                stop("garbled");
                return false;
            }
            if (state.isFirst) {
                state.isFirst = false;
                parts.onFirstEvent();
                parts.sendHead();
            }
            served.res.write(event.bytes, progress.pace.passing());
            progress.passedEvents += 1;
            progress.lastEventId = event.id ?? progress.lastEventId;
            return true;
        };
        watch();
        res.on("data", (chunk: Buffer) => {
            parts.sign();
            watch();
            splitter.push(chunk).every(pass);
        });
        res.on("error", () => settle(served.signal.aborted ? "cancelled" : "broken"));
        res.on("close", () => settle(served.signal.aborted ? "cancelled" : "broken"));
        res.on("end", () => {
            const isWhole = endsWhole(opened) && splitter.rest() === 0;
            settle(isWhole ? "answered" : "broken");
        });
    });
}
