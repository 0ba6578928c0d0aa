import type { Clock } from "@azureshunt/core";
import type { FlowBounds } from "@azureshunt/flow";
import { isStalled } from "@azureshunt/flow";
import { startTimeout } from "@azureshunt/lifecycle";

import { createEventSplitter } from "../dispatch/createEventSplitter.js";
import type { EndChecks } from "../dispatch/EndChecks.js";
import type { OpenedCall } from "../dispatch/OpenedCall.js";
import { resolveEnd } from "../dispatch/resolveEnd.js";
import type { TryOutcome } from "../dispatch/TryOutcome.js";
import type { ServedRequest } from "./ServedRequest.js";
import type { StreamHooks } from "./StreamHooks.js";
import type { StreamProgress } from "./StreamProgress.js";

/** A stream ends after this much more silence even if its endpoint is alive: its connection is lost. */
const LOST_CONNECTION_MS = 500;
/** Events that are larger than one read wait in this VM until they are complete. */
const LARGE_EVENT_BYTES = 64 * 1024;

type StreamParts = StreamHooks & {
    readonly served: ServedRequest;
    readonly opened: Extract<OpenedCall, { readonly kind: "head"; }>;
    readonly progress: StreamProgress;
    readonly clock: Clock;
    readonly bounds: FlowBounds;
    /** Silence after which the stream continues at another endpoint; `undefined` if it cannot. */
    readonly silenceMs: number | undefined;
    /** Sends the head of the answer, before the first event. */
    readonly sendHead: () => void;
    readonly endChecks: EndChecks;
};

/**
 * Forwards a stream's events to the caller as they arrive, complete and in order.
 *
 * If an endpoint stops in mid-event, or another one continues the stream and repeats or omits an event, the caller
 * would read a text that no endpoint generated. To prevent this, only complete events are forwarded, and each id must
 * follow the one before; the stream ends as complete only if the endpoint ended it as such.
 *
 * If the caller does not read, what the endpoint sends would fill the memory. To prevent this, the endpoint is not read
 * while more waits for the caller than `readAhead` allows; its silence during that time says nothing of it.
 */
export function forwardStream(parts: StreamParts): Promise<TryOutcome> {
    const { served, opened, progress, clock, bounds } = parts;
    const { res } = opened;
    const { output, account } = served;
    const splitter = createEventSplitter();
    return new Promise(resolve => {
        const state = {
            cancelTimeout: (): void => undefined,
            isFirst: true,
            isPaused: false,
            hasEnded: false,
            isSettled: false,
            lastDataAt: clock.now(),
            /** Since when the endpoint is taken for silent, although it is alive. */
            silentAt: undefined as number | undefined,
            /** Growth of an incomplete event. */
            growth: { since: 0, bytes: 0 },
            /** Blank lines since the last event. */
            blank: { since: 0, bytes: 0 },
            countedBytes: 0,
        };
        const settle = (kind: TryOutcome): void => {
            if (state.isSettled) {
                return;
            }
            state.isSettled = true;
            stopWatching();
            output.onRead(undefined);
            account.onBudgetRoom = undefined;
            account.source = undefined;
            account.answerSince = undefined;
            account.add(-state.countedBytes);
            resolve(kind);
        };
        const endTry = (kind: TryOutcome): void => {
            settle(kind);
            res.destroy();
        };
        const unregister = parts.onMove(() => endTry("moved"));
        const stopWatching = (): void => {
            state.cancelTimeout();
            unregister();
        };

        // The timer is not set anew with each read; when it fires, it waits for what is left of the silence.
        const { silenceMs } = parts;
        const checkSilence = (allowedMs: number): void => {
            const silentMs = clock.now() - state.lastDataAt;
            if (state.isPaused || silentMs < allowedMs) {
                const leftMs = state.isPaused ? allowedMs : allowedMs - silentMs;
                state.cancelTimeout = startTimeout(leftMs, () => checkSilence(allowedMs));
                return;
            }
            if (state.silentAt !== state.lastDataAt && parts.isAlive()) {
                state.silentAt = state.lastDataAt;
                state.cancelTimeout = startTimeout(LOST_CONNECTION_MS, () => checkSilence(allowedMs));
                return;
            }
            endTry("silent");
        };
        if (silenceMs !== undefined) {
            state.cancelTimeout = startTimeout(silenceMs, () => checkSilence(silenceMs));
        }

        const mustWait = (): boolean => {
            return (output.isBlocked() && output.pendingBytes() > account.readAhead())
                // An event is sent only once it is whole, so a large one waits only while memory is short.
                || (state.countedBytes > LARGE_EVENT_BYTES && state.countedBytes > account.readAhead(true));
        };
        const waitForRoom = (): void => {
            if (!account.isRepeatable || state.countedBytes > LARGE_EVENT_BYTES) {
                account.waitForRoom();
            }
        };
        const resume = (): void => {
            if (state.isPaused && mustWait()) {
                waitForRoom();
            }
            else if (state.isPaused) {
                state.isPaused = false;
                state.lastDataAt = clock.now();
                state.growth = { since: state.lastDataAt, bytes: 0 };
                account.source = undefined;
                res.resume();
            }
        };
        const pauseIfUnread = (): void => {
            if (!state.isPaused && mustWait()) {
                state.isPaused = true;
                account.source = res;
                waitForRoom();
                res.pause();
            }
        };
        output.onRead(resume);
        account.onBudgetRoom = resume;

        const accept = (id: number | undefined): boolean => {
            if (id === undefined) {
                return true;
            }
            if (progress.lastEventId !== undefined && id !== progress.lastEventId + 1) {
                return false;
            }
            progress.lastEventId = id;
            return true;
        };
        // Blank lines are no progress, however many they are.
        const hasStalled = (done: ReturnType<typeof splitter.push>, bytes: number, now: number): boolean => {
            const { growth, blank } = state;
            if (done.hasContent) {
                growth.bytes = 0;
                blank.bytes = 0;
                return false;
            }
            const counted = done.events > 0 ? blank : growth;
            counted.since = counted.bytes === 0 ? now : counted.since;
            counted.bytes += bytes;
            if (done.events > 0) {
                return blank.bytes > bounds.headBytes || now - blank.since >= bounds.progressMs;
            }
            if (isStalled(growth, bounds.progressMs, now)) {
                return true;
            }
            if (now - growth.since >= bounds.progressMs) {
                growth.since = now;
                growth.bytes = bytes;
            }
            return false;
        };
        const countIncomplete = (): void => {
            const bytes = splitter.bufferedBytes();
            if (bytes !== state.countedBytes) {
                account.add(bytes - state.countedBytes);
                state.countedBytes = bytes;
                // A large event that is not complete may be cut off, although its caller cannot read it yet.
                account.answerSince = bytes > LARGE_EVENT_BYTES ? account.answerSince ?? clock.now() : undefined;
            }
        };
        res.on("data", (chunk: Buffer) => {
            if (state.isSettled) {
                return;
            }
            const now = clock.now();
            state.lastDataAt = now;
            parts.onActivity(now);
            const done = splitter.push(chunk, accept);
            if (done.events > 0) {
                if (state.isFirst) {
                    state.isFirst = false;
                    parts.onFirstEvent();
                    parts.sendHead();
                }
                progress.pace.recordEvents(now);
                progress.forwardedEvents += done.events;
                for (const part of done.parts) {
                    output.write(part);
                }
            }
            if (done.isRejected) {
                endTry("garbled");
                return;
            }
            countIncomplete();
            if (splitter.bufferedBytes() > bounds.eventBytes || hasStalled(done, chunk.length, now)) {
                endTry("broken");
                return;
            }
            pauseIfUnread();
        });
        const endBroken = (): void => settle(served.signal.aborted ? "cancelled" : "broken");
        const endBrokenUnlessEnded = (): void => {
            if (!state.hasEnded) {
                endBroken();
            }
        };
        res.on("error", endBrokenUnlessEnded);
        res.on("close", endBrokenUnlessEnded);
        res.on("end", () => {
            state.hasEnded = true;
            stopWatching();
            if (splitter.bufferedBytes() > 0) {
                endBroken();
                return;
            }
            resolveEnd(opened, parts.endChecks, isWhole => isWhole ? settle("answered") : endBroken());
        });
    });
}
