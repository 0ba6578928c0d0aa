import type { Clock } from "./Clock.js";

/** Resolves after a delay measured by the given clock; immediately if the delay is not positive. */
export function sleep(clock: Clock, ms: number): Promise<void> {
    return ms <= 0 ? Promise.resolve() : new Promise(resolve => clock.after(ms, resolve));
}
