import type { Millis, Tokens } from "@azureshunt/core";

import type { SharedAllowance } from "./SharedAllowance.js";

/**
 * Opens an organisation's allowance at the start of a process.
 *
 * Failure: all VMs restart again and again, and each time the organisation gets its whole burst anew. Guard: the bucket
 * starts empty and fills at the rate.
 */
export function openSharedAllowance(ratePerSecond: Tokens, burst: Tokens, now: Millis): SharedAllowance {
    return {
        ratePerSecond,
        burst,
        level: 0,
        at: now,
        openedAt: now,
        overdraft: 0,
        ownSpent: 0,
        peers: new Map(),
    };
}
