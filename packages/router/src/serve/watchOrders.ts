import type { Millis } from "@azureshunt/core";

/**
 * Delay between receiving an order and moving streams off its engine. Orders of one wave are issued at the same moment
 * and sent one after the other, over links of a few milliseconds.
 */
const WAVE_PROPAGATION_MS: Millis = 30;

type OrderWatch = {
    /** Calls a listener whenever the engine is ordered to load weights; returns a function that unregisters it. */
    readonly onOrdered: (listener: () => void) => () => void;
    /** Runs a function after a delay; returns a function that cancels it. */
    readonly schedule: (delayMs: Millis, run: () => void) => () => void;
    /** Called after the delay: reserves a retry and returns whether the stream leaves. */
    readonly reserveMove: () => boolean;
};

/**
 * Watches the orders for a stream's engine and calls `move` when the stream is to leave it.
 *
 * If two engines are ordered at once and a VM knows only the first order, it would send its stream to the second
 * engine, which refuses it as it has to load new weights too; the retry is used up and the stream is cut off. To
 * prevent this, a stream leaves only when all orders of the wave are known.
 *
 * @returns a function that stops watching
 */
export function watchOrders({ onOrdered, schedule, reserveMove }: OrderWatch, move: () => void): () => void {
    const pending = { cancel: (): void => undefined };
    const onOrder = (): void => {
        pending.cancel();
        pending.cancel = schedule(WAVE_PROPAGATION_MS, () => reserveMove() ? move() : undefined);
    };
    const unregister = onOrdered(onOrder);
    return () => {
        pending.cancel();
        unregister();
    };
}
