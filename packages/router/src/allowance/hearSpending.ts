import type { Tokens, VmId } from "@azureshunt/core";

import type { SharedAllowance } from "./SharedAllowance.js";

/**
 * Takes in what another VM has spent in all. What was already taken as spent while it was out of hearing is not taken
 * twice. The count shrinks where that VM gave tokens back.
 *
 * @param isRestarted whether the VM's process is another one than before, so that its count began at 0
 */
export function hearSpending(
    allowance: SharedAllowance,
    vm: VmId,
    spent: Tokens,
    isRestarted: boolean,
): SharedAllowance {
    const known = allowance.peers.get(vm);
    const before = isRestarted ? 0 : known?.spent ?? spent;
    const further = spent - before;
    const debit = further < 0 ? further : Math.max(0, further - (known?.assumed ?? 0));
    return {
        ...allowance,
        level: Math.min(allowance.burst, allowance.level - debit),
        peers: new Map([...allowance.peers, [vm, { spent, assumed: 0 }]]),
    };
}
