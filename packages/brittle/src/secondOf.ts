import type { Millis } from "@azureshunt/core";

const SECOND_MS: Millis = 1_000;

/** Returns the number of the second of a clock. */
export function secondOf(now: Millis): number {
    return Math.floor(now / SECOND_MS);
}
