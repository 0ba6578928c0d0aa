import type { Socket } from "node:net";

import type { Clock } from "../common/Clock.js";

/** One forwarded connection. */
type ForwardedConnection = {
    /** Stops forwarding permanently, including the end of the connection. */
    readonly silence: () => void;
    readonly destroy: () => void;
};

/**
 * Forwards data and ends between two sockets in both directions, delayed by `delayMs`. The order is kept when the delay
 * changes.
 *
 * @param isForwarding data that arrives while it returns false is dropped
 */
export function forwardBetween(
    caller: Socket,
    target: Socket,
    clock: Clock,
    delayMs: () => number,
    isForwarding: () => boolean,
): ForwardedConnection {
    let isSilenced = false;

    const forward = (from: Socket, to: Socket): void => {
        let lastDueAt = 0;
        const schedule = (callback: () => void): void => {
            const now = clock.now();
            lastDueAt = Math.max(lastDueAt, now + delayMs());
            const unlessSilenced = (): void => {
                if (!isSilenced) {
                    callback();
                }
            };
            if (lastDueAt <= now) {
                unlessSilenced();
                return;
            }
            clock.after(lastDueAt - now, unlessSilenced);
        };
        from.on("data", chunk => {
            if (isForwarding()) {
                schedule(() => to.write(chunk));
            }
        });
        from.on("end", () => schedule(() => to.end()));
        from.on("close", () => schedule(() => to.destroy()));
        from.on("error", () => schedule(() => to.destroy()));
    };
    forward(caller, target);
    forward(target, caller);
    return {
        silence: () => {
            isSilenced = true;
        },
        destroy: () => {
            caller.destroy();
            target.destroy();
        },
    };
}
