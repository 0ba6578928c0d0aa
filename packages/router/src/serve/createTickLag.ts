import type { Clock, Millis } from "@azureshunt/core";

/** How late this process runs. */
type TickLag = {
    /** To be called at every interval. */
    readonly tick: () => void;
    /** The longest delay of a tick within the last second, and of the next one if it is overdue. */
    readonly lagMs: () => Millis;
};

/** Time for which a late tick counts: answers that were read late are recorded after it. */
const REMEMBERED_MS: Millis = 1_000;

/** Creates a measure of the delay of a tick that is expected at every interval. */
export function createTickLag(clock: Clock, intervalMs: Millis): TickLag {
    const state = { tickAt: clock.now(), lateMs: 0, lateAt: -Infinity as Millis };
    const overdueMs = (): Millis => Math.max(0, clock.now() - state.tickAt - intervalMs);
    return {
        tick: () => {
            const now = clock.now();
            const lateMs = overdueMs();
            if (lateMs >= state.lateMs || now - state.lateAt > REMEMBERED_MS) {
                state.lateMs = lateMs;
                state.lateAt = now;
            }
            state.tickAt = now;
        },
        lagMs: () => Math.max(overdueMs(), clock.now() - state.lateAt > REMEMBERED_MS ? 0 : state.lateMs),
    };
}
