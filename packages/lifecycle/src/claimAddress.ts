import type { Millis } from "@azureshunt/core";

type ClaimParts<T> = {
    /** `host:port`. */
    readonly address: string;
    /** Binds the address once; rejects with `EADDRINUSE` while another process holds it. */
    readonly bind: () => Promise<T>;
    /** Longest time to wait for the address. */
    readonly withinMs: Millis;
    /** Ends the wait. */
    readonly signal?: AbortSignal;
    /** Called once, when the wait begins. */
    readonly onWait?: (address: string) => void;
};

const RETRY_MS = 100;

const isTaken = (err: unknown): boolean => (err as NodeJS.ErrnoException).code === "EADDRINUSE";

/**
 * Binds an address that another process may still hold, as the predecessor of a process does until its last request has
 * ended.
 *
 * @throws the error of `bind` if it is another one than `EADDRINUSE`, if the time is up, or once `signal` is aborted
 */
export async function claimAddress<T>(parts: ClaimParts<T>): Promise<T> {
    const { address, bind, withinMs, signal, onWait } = parts;
    const giveUpAt = performance.now() + withinMs;
    const state = { isWaiting: false };
    for (;;) {
        try {
            return await bind();
        }
        catch (err) {
            if (!isTaken(err) || signal?.aborted === true || performance.now() >= giveUpAt) {
                throw err;
            }
        }
        if (!state.isWaiting) {
            state.isWaiting = true;
            onWait?.(address);
        }
        await new Promise(resolve => setTimeout(resolve, RETRY_MS));
    }
}
