import type { Millis, Tokens } from "@azureshunt/core";

import { addedSpending } from "./addedSpending.js";
import { EXPIRY_MS } from "./EXPIRY_MS.js";
import { isExpired } from "./isExpired.js";
import type { SharedAllowance } from "./SharedAllowance.js";
import type { Spender } from "./Spender.js";

/**
 * Debits what a spender's counter adds. Spending that was already assumed while the spender was silent is not debited
 * twice; what was assumed beyond the counter is not given back. The counter shrinks if tokens are refunded.
 *
 * @param spent the counter: all tokens that the spender has spent
 * @param isNew whether to debit the whole counter; see `addedSpending`
 */
export function receiveSpending(
    allowance: SharedAllowance,
    spender: Spender,
    spent: Tokens,
    isNew: boolean,
    now: Millis = allowance.at,
): SharedAllowance {
    const known = allowance.peers.get(spender);
    if (known?.spent === spent && known.assumed === 0 && now - known.receivedAt < EXPIRY_MS / 2) {
        // Fast path: most VMs have spent nothing for most organisations since their last beacon. `receivedAt` stays, so
        // it must be renewed before the counter expires.
        return allowance;
    }
    const added = addedSpending(isExpired(known, now) ? undefined : known?.spent, spent, isNew);
    const debit = added < 0 ? added : Math.max(0, added - (known?.assumed ?? 0));
    return {
        ...allowance,
        level: Math.min(allowance.burst, allowance.level - debit),
        peers: new Map(allowance.peers).set(spender, { spent, assumed: 0, assumedFrom: undefined, receivedAt: now }),
    };
}
