import type { Clock, Millis } from "@azureshunt/core";
import { initialTicks, stepTicks } from "@azureshunt/overload";
import type { TickTimes } from "@azureshunt/overload";

/** How late the shared timer of this process is. */
type TickLag = {
    /** To be called at every interval, before the users of the measure. */
    readonly tick: () => void;
    /** Records that the process did not run for a part of the time since the last tick. */
    readonly recordPause: (ms: Millis) => void;
    readonly intervalMs: Millis;
    readonly times: () => TickTimes;
    /** How late the next tick is by now; negative before it is due. */
    readonly overdueMs: () => Millis;
    /** The longest delay of a tick within the last second, and of the next one if it is overdue. */
    readonly recentMs: () => Millis;
    /** Whether what is read now may have waited for long. */
    readonly isLagging: () => boolean;
};

/**
 * Time for which a late tick counts: timers run before sockets in each turn of the event loop, so what has waited longest
 * is read after the tick.
 */
const REMEMBERED_MS: Millis = 1_000;
/** Lag in intervals from which the process counts as late. */
const MAX_LAG_INTERVALS = 1;

/** Creates the measure of the delay of a tick that is expected at every interval. */
export function createTickLag(clock: Clock, intervalMs: Millis): TickLag {
    const state = {
        times: initialTicks(clock.now()),
        pausedMs: 0,
        peakMs: 0,
        peakAt: -Infinity as Millis,
        lateUntil: -Infinity as Millis,
    };
    const overdueMs = (): Millis => clock.now() - state.times.tickAt - intervalMs;
    const isLate = (lagMs: Millis): boolean => lagMs > MAX_LAG_INTERVALS * intervalMs;
    return {
        tick: () => {
            const now = clock.now();
            state.times = stepTicks(state.times, intervalMs, now, state.pausedMs);
            state.pausedMs = 0;
            const { lagMs } = state.times;
            if (lagMs >= state.peakMs || now - state.peakAt > REMEMBERED_MS) {
                state.peakMs = lagMs;
                state.peakAt = now;
            }
            if (isLate(lagMs)) {
                state.lateUntil = now + REMEMBERED_MS;
            }
        },
        recordPause: ms => {
            state.pausedMs += ms;
        },
        intervalMs,
        times: () => state.times,
        overdueMs,
        recentMs: () => Math.max(0, overdueMs(), clock.now() - state.peakAt > REMEMBERED_MS ? 0 : state.peakMs),
        isLagging: () => isLate(overdueMs()) || clock.now() < state.lateUntil,
    };
}
