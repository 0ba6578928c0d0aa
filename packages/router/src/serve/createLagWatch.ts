import type { Clock, Millis } from "@azureshunt/core";

/** Notices that this process runs late. */
type LagWatch = {
    /** To be called at every interval. */
    readonly tick: () => void;
    readonly isLagging: () => boolean;
};

/** Overdue intervals from which the process counts as late. */
const MAX_OVERDUE_INTERVALS = 2;

/** Creates a watch that expects a tick at every interval. */
export function createLagWatch(clock: Clock, intervalMs: Millis): LagWatch {
    const state = { tickAt: clock.now() };
    return {
        tick: () => {
            state.tickAt = clock.now();
        },
        isLagging: () => clock.now() - state.tickAt > MAX_OVERDUE_INTERVALS * intervalMs,
    };
}
