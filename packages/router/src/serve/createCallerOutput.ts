import type { Clock, Millis } from "@azureshunt/core";
import { createByteQueue } from "@azureshunt/http";

import type { HeldAccount } from "../flow/HeldAccount.js";
import type { CallerOutput } from "./CallerOutput.js";

/** Bytes that are given to Node at once. Node says nothing of a write before all of it has been sent. */
const SLICE_BYTES = 64 * 1024;
/** The same for a slow caller; at 8 KB/s it shows every two seconds that it reads. */
const SLOW_SLICE_BYTES = 16 * 1024;
/** A slice that took longer shows a slow caller. */
const SLOW_MS = 100;

/**
 * Creates the output to a caller. Bytes go out at once as long as the caller reads; otherwise they wait, and go out in
 * slices, so that a caller that reads slowly is told from one that does not read at all.
 */
export function createCallerOutput(clock: Clock, account: HeldAccount): CallerOutput {
    const { res } = account;
    const state = {
        /** What waits; most callers read everything at once and need none. */
        queue: undefined as ReturnType<typeof createByteQueue> | undefined,
        isBlocked: false,
        isEnding: false,
        sliceBytes: SLICE_BYTES,
        waitMs: 0,
        onRead: undefined as (() => void) | undefined,
    };
    const queuedBytes = (): number => state.queue?.bytes() ?? 0;
    const recordWait = (now: Millis): Millis => {
        const waitedMs = now - (account.sentSince ?? now);
        state.waitMs = Math.max(state.waitMs, waitedMs);
        return waitedMs;
    };
    const send = (bytes: Buffer): void => {
        const now = clock.now();
        if (res.writableLength === 0) {
            account.sentSince = now;
        }
        recordWait(now);
        // What Node takes without being blocked is little, and counted at the next tick.
        if (!res.write(bytes)) {
            state.isBlocked = true;
            account.measure();
        }
    };
    const enqueue = (bytes: Buffer): void => {
        state.queue ??= createByteQueue();
        state.queue.add(bytes);
        account.add(bytes.length);
    };
    const flush = (): void => {
        while (!state.isBlocked && queuedBytes() > 0) {
            const slice = state.queue?.take(state.sliceBytes) ?? Buffer.alloc(0);
            account.add(-slice.length);
            send(slice);
        }
        if (state.isEnding && queuedBytes() === 0) {
            state.isEnding = false;
            res.end();
        }
    };
    const onDrain = (): void => {
        state.sliceBytes = recordWait(clock.now()) > SLOW_MS ? SLOW_SLICE_BYTES : SLICE_BYTES;
        state.isBlocked = false;
        account.sentSince = undefined;
        account.measure();
        flush();
        state.onRead?.();
    };
    res.on("drain", onDrain);
    const write: CallerOutput["write"] = bytes => {
        if (res.destroyed) {
            return;
        }
        if (!state.isBlocked && queuedBytes() === 0 && bytes.length <= SLICE_BYTES) {
            send(bytes);
            return;
        }
        enqueue(bytes);
        flush();
    };
    return {
        write,
        end: chunks => {
            const bytes = chunks.reduce((sum, chunk) => sum + chunk.length, 0);
            if (queuedBytes() === 0 && !state.isBlocked && bytes <= SLICE_BYTES) {
                account.sentSince ??= clock.now();
                res.end(chunks.length === 1 ? chunks[0] : bytes === 0 ? undefined : Buffer.concat(chunks));
                return;
            }
            state.isEnding = true;
            chunks.forEach(enqueue);
            flush();
        },
        maxWaitMs: () => state.waitMs,
        isBlocked: () => state.isBlocked,
        pendingBytes: () => queuedBytes() + res.writableLength,
        onRead: listener => {
            state.onRead = listener;
        },
    };
}
