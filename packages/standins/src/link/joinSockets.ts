import type { Socket } from "node:net";

import type { Clock } from "../common/Clock.js";

/** One forwarded connection. */
type JoinedPair = {
    /** Lets nothing pass any more, not even the end of the connection. */
    readonly mute: () => void;
    readonly destroy: () => void;
};

/**
 * Passes everything between two sockets, late by `delayMs`. What is late stays in order when the delay changes.
 *
 * @param passes false drops what comes
 */
export function joinSockets(
    near: Socket,
    far: Socket,
    clock: Clock,
    delayMs: () => number,
    passes: () => boolean,
): JoinedPair {
    let muted = false;

    const connect = (from: Socket, to: Socket): void => {
        let lastDueAt = 0;
        const later = (act: () => void): void => {
            const now = clock.now();
            lastDueAt = Math.max(lastDueAt, now + delayMs());
            const guarded = (): void => {
                if (!muted) {
                    act();
                }
            };
            if (lastDueAt <= now) {
                guarded();
                return;
            }
            clock.after(lastDueAt - now, guarded);
        };
        from.on("data", chunk => {
            if (passes()) {
                later(() => to.write(chunk));
            }
        });
        from.on("end", () => later(() => to.end()));
        from.on("close", () => later(() => to.destroy()));
        from.on("error", () => later(() => to.destroy()));
    };
    connect(near, far);
    connect(far, near);
    return {
        mute: () => {
            muted = true;
        },
        destroy: () => {
            near.destroy();
            far.destroy();
        },
    };
}
