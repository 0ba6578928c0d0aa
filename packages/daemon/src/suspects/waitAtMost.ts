import { setTimeout as sleep } from "node:timers/promises";

import type { Millis } from "@azureshunt/core";

/** Waits until a promise has resolved, but no longer than a timeout. The timer does not keep the process alive. */
export async function waitAtMost(promise: Promise<unknown>, timeoutMs: Millis): Promise<void> {
    await Promise.race([promise, sleep(timeoutMs, undefined, { ref: false })]);
}
