import type { Tokens, VmId } from "@azureshunt/core";

import type { SharedAllowance } from "./SharedAllowance.js";

/**
 * Takes in what another VM has spent in all. What was already taken as spent while it was out of hearing is not taken
 * twice. The count shrinks where that VM gave tokens back.
 *
 * Failure: one VM restarts among others that have served for long. It takes all that they ever spent for spent now, and
 * refuses organisations within their rate for up to five seconds. Guard: of a process that is older than this allowance
 * only what follows its first word counts; what it spends before that is its own share of the rate.
 *
 * @param isNew whether this is the first word of a process that began after this allowance was opened, so that its whole
 * count is to be debited
 */
export function hearSpending(
    allowance: SharedAllowance,
    vm: VmId,
    spent: Tokens,
    isNew: boolean,
): SharedAllowance {
    const known = allowance.peers.get(vm);
    if (known?.spent === spent && known.assumed === 0) {
        // Most VMs have spent nothing for most organisations since they last told.
        return allowance;
    }
    const before = isNew ? 0 : known?.spent ?? spent;
    const further = spent - before;
    const debit = further < 0 ? further : Math.max(0, further - (known?.assumed ?? 0));
    return {
        ...allowance,
        level: Math.min(allowance.burst, allowance.level - debit),
        peers: new Map(allowance.peers).set(vm, { spent, assumed: 0 }),
    };
}
