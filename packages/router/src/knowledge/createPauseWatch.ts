import type { Clock } from "@azureshunt/core";

/** Difference in milliseconds between the clocks' progress that counts as a pause; timers and slewing stay below it. */
const JUMP_MS = 120;

/** Notices that the process was suspended or that its time of day was stepped. */
type PauseWatch = {
    /** Compares the clocks; to be called before anything is done that old knowledge would make wrong. */
    readonly check: () => void;
};

/**
 * Failure: the VM is suspended for seconds and goes on as if no time had passed, since the monotonic clock stands still
 * meanwhile; it would serve a withdrawn key or give orders under a lease that ran out. It shows as a jump of the time of
 * day against the monotonic clock. A stepped time of day looks the same and is treated alike, which costs one round of
 * confirmation.
 *
 * @param onPause told how many milliseconds the clocks moved apart
 */
export function createPauseWatch(clock: Clock, onPause: (jumpMs: number) => void): PauseWatch {
    const last = { offset: clock.epoch() - clock.now() };
    const check = (): void => {
        const offset = clock.epoch() - clock.now();
        const jump = offset - last.offset;
        last.offset = offset;
        if (Math.abs(jump) > JUMP_MS) {
            onPause(jump);
        }
    };
    return { check };
}
