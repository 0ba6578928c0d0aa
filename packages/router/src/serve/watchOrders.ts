import type { Millis } from "@azureshunt/core";

import { peerTiming } from "../peers/peerTiming.js";

/**
 * Delay between receiving an order and moving streams off its engine. Orders of one wave are issued within some 30 ms, as
 * the reports of their engines come in. The first is told at once, and those that follow it after the gap between urgent
 * sends.
 */
const WAVE_PROPAGATION_MS: Millis = peerTiming.urgentGapMs + 60;

type OrderWatch<Reserved> = {
    /**
     * Calls a listener whenever the engine is ordered to load weights of the stream's model; returns a function that
     * unregisters it.
     */
    readonly onOrdered: (listener: () => void) => () => void;
    /** Runs a function after a delay; returns a function that cancels it. */
    readonly schedule: (delayMs: Millis, run: () => void) => () => void;
    /** Called after the delay: reserves what the stream needs to leave; resolves with `undefined` if it stays. */
    readonly reserve: () => Promise<Reserved | undefined>;
};

/**
 * Watches the orders for a stream's engine and model and calls `move` when the stream is to leave it.
 *
 * If two engines are ordered at once and a VM knows only the first order, it would send its stream to the second
 * engine, which keeps a place for it, but refuses it as it has to load new weights too; the retry is used up and the
 * stream is cut off. To prevent this, a stream leaves only when all orders of the wave are known, and only with a reserved
 * place. Until then its engine goes on with it.
 *
 * @param move called with what was reserved
 * @returns a function that stops watching
 */
export function watchOrders<Reserved extends { readonly release: () => void; }>(
    { onOrdered, schedule, reserve }: OrderWatch<Reserved>,
    move: (reserved: Reserved) => void,
): () => void {
    const state = { cancel: (): void => undefined, isReserving: false, isStopped: false };
    const leave = async (): Promise<void> => {
        state.isReserving = true;
        const reserved = await reserve();
        state.isReserving = false;
        if (state.isStopped) {
            reserved?.release();
        }
        else if (reserved !== undefined) {
            move(reserved);
        }
    };
    const onOrder = (): void => {
        if (!state.isReserving) {
            state.cancel();
            state.cancel = schedule(WAVE_PROPAGATION_MS, () => void leave());
        }
    };
    const unregister = onOrdered(onOrder);
    return () => {
        state.isStopped = true;
        state.cancel();
        unregister();
    };
}
