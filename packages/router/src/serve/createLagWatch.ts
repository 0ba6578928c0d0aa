import type { Clock, Millis } from "@azureshunt/core";

/** Notices that this process runs late. */
type LagWatch = {
    /** To be called at every interval. */
    readonly tick: () => void;
    /** Whether what is read now may have waited for long. */
    readonly isLagging: () => boolean;
};

/** Overdue intervals from which the process counts as late. */
const MAX_OVERDUE_INTERVALS = 2;
/**
 * Time after a late tick for which the process still counts as late: timers run before sockets in each turn of the event
 * loop, so what has waited longest is read after the tick.
 */
const LATE_FOR_MS: Millis = 1_000;

/** Creates a watch that expects a tick at every interval. */
export function createLagWatch(clock: Clock, intervalMs: Millis): LagWatch {
    const state = { tickAt: clock.now(), lateUntil: -Infinity as Millis };
    const isOverdue = (): boolean => clock.now() - state.tickAt > MAX_OVERDUE_INTERVALS * intervalMs;
    return {
        tick: () => {
            state.lateUntil = isOverdue() ? clock.now() + LATE_FOR_MS : state.lateUntil;
            state.tickAt = clock.now();
        },
        isLagging: () => isOverdue() || clock.now() < state.lateUntil,
    };
}
