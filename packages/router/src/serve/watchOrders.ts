import type { Millis } from "@azureshunt/core";

/**
 * Between hearing of an order and moving streams off its engine. Orders of one wave are given in the same moment and told
 * one after the other, over links of a few milliseconds.
 */
const WAVE_TOLD_MS: Millis = 30;

type OrderWatch = {
    /** Calls a listener whenever the engine is ordered; gives a function that ends the calls. */
    readonly onOrdered: (listener: () => void) => () => void;
    /** Runs a function after some time; gives a function that prevents it. */
    readonly later: (delayMs: Millis, run: () => void) => () => void;
    /** Whether the stream leaves, as things stand by then. */
    readonly takesMove: () => boolean;
};

/**
 * Watches for the moment at which a stream leaves its engine.
 *
 * Failure: two engines are ordered at once, a VM hears of the first order and sends its stream to the second engine, which
 * refuses it as it is to take new weights too; the further try is used up and the stream is cut. Guard: a stream leaves
 * only when all orders of the wave are known.
 *
 * @returns a function that ends the watch
 */
export function watchOrders({ onOrdered, later, takesMove }: OrderWatch, move: () => void): () => void {
    const pending = { cancel: (): void => undefined };
    const onOrder = (): void => {
        pending.cancel();
        pending.cancel = later(WAVE_TOLD_MS, () => takesMove() ? move() : undefined);
    };
    const unregister = onOrdered(onOrder);
    return () => {
        pending.cancel();
        unregister();
    };
}
