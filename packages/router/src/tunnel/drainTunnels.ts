import type { Millis } from "@azureshunt/core";
import { startTimeout } from "@azureshunt/lifecycle";

import type { TunnelUser } from "./TunnelUser.js";

type DrainParts = {
    /** Returns who uses the tunnels that are left; `undefined` for each VM that has not said. */
    readonly users: () => readonly (TunnelUser | undefined)[];
    /** Whether a connection to an endpoint is being opened for a tunnel. */
    readonly isOpening: () => boolean;
    /** Whether a VM may still ask how a tunnel ended. */
    readonly isAwaitingQuestion: () => boolean;
    /** Asks the VM at an address to close tunnels that carry no request. */
    readonly notify: (address: string, tunnels: readonly TunnelUser["id"][]) => void;
    readonly noticeMs: Millis;
    readonly withinMs: Millis;
};

const POLL_MS: Millis = 50;

/**
 * Waits until no tunnel is left, at most for the time given. This VM cannot tell whether an answer runs on a tunnel: an
 * endpoint may pause in it for long. So the VMs that use the tunnels are asked, now and then, to close them.
 */
export function drainTunnels(parts: DrainParts): Promise<void> {
    const { users, isOpening, isAwaitingQuestion, notify, noticeMs, withinMs } = parts;
    const startedAt = performance.now();
    const state = { notifiedAt: -Infinity };
    const notifyAll = (left: readonly (TunnelUser | undefined)[]): void => {
        const users = left.flatMap(user => user ?? []);
        new Set(users.map(({ address }) => address)).forEach(address =>
            notify(address, users.filter(user => user.address === address).map(({ id }) => id))
        );
    };
    return new Promise(resolve => {
        const poll = (): void => {
            const now = performance.now();
            const left = users();
            const isDone = left.length === 0 && !isOpening() && !isAwaitingQuestion();
            if (isDone || now - startedAt > withinMs) {
                resolve();
                return;
            }
            if (now - state.notifiedAt >= noticeMs) {
                state.notifiedAt = now;
                notifyAll(left);
            }
            startTimeout(POLL_MS, poll);
        };
        poll();
    });
}
