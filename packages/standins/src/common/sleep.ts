import type { Clock } from "./Clock.js";

/** Settles after some milliseconds of the given clock. */
export function sleep(clock: Clock, ms: number): Promise<void> {
    return ms <= 0 ? Promise.resolve() : new Promise(resolve => clock.after(ms, resolve));
}
