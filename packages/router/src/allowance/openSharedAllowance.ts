import type { Millis, Tokens } from "@azureshunt/core";

import type { SharedAllowance } from "./SharedAllowance.js";

/**
 * Opens an organisation's allowance at the start of a process.
 *
 * If all VMs restarted repeatedly, the organisation would get its whole burst again each time. To prevent this, the
 * bucket starts empty and fills at the rate.
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
