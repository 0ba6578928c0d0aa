import { setTimeout as sleep } from "node:timers/promises";

import type { Millis } from "@azureshunt/core";

/** Waits until something has settled, but no longer than a bound; neither keeps the process from ending. */
export async function waitAtMost(settled: Promise<unknown>, boundMs: Millis): Promise<void> {
    await Promise.race([settled, sleep(boundMs, undefined, { ref: false })]);
}
