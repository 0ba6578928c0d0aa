import type { Clock } from "@azureshunt/core";

/**
 * Difference in milliseconds between the progress of the two clocks above which the process counts as suspended. Late
 * timers and clock slewing stay below it.
 */
const MIN_JUMP_MS = 120;

/** Detects that the process was suspended or that the time of day was stepped. */
type SuspensionWatch = {
    /** Compares the clocks; to be called before anything that outdated state would make wrong. */
    readonly check: () => void;
};

/**
 * Creates a watch for suspensions of the process.
 *
 * If the VM is suspended for seconds, it continues as if no time had elapsed, since the monotonic clock stands still
 * meanwhile; it would accept a withdrawn key or issue orders under an expired lease. Symptom: a jump of the time of day
 * against the monotonic clock. A stepped time of day looks the same and is treated alike, which costs one round of
 * confirmation.
 *
 * @param onSuspended called with the milliseconds by which the clocks moved apart
 */
export function createSuspensionWatch(clock: Clock, onSuspended: (jumpMs: number) => void): SuspensionWatch {
    const last = { offset: clock.epoch() - clock.now() };
    const check = (): void => {
        const offset = clock.epoch() - clock.now();
        const jump = offset - last.offset;
        last.offset = offset;
        if (Math.abs(jump) > MIN_JUMP_MS) {
            onSuspended(jump);
        }
    };
    return { check };
}
