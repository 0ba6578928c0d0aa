import type { Tokens } from "@azureshunt/core";

/** What this VM knows about tokens to come. */
export type Outlook = {
    /** Whether every home has told, or failed to, lately enough to decide. */
    readonly informed: boolean;
    /** Whether all homes have just taken over and do not serve yet, as after the start of a whole installation. */
    readonly settling: boolean;
    /** Tokens free in reachable homes' buckets by now. */
    readonly free: Tokens;
    /** Tokens that other VMs hold and may hand back. */
    readonly recallable: Tokens;
    /** Tokens lacking to requests at other VMs that came before the ones here. */
    readonly unmet: Tokens;
    /** Tokens a second that reachable homes accrue. */
    readonly rate: Tokens;
    /** Burst and rate held by homes out of reach. */
    readonly unreachableBurst: Tokens;
    readonly unreachableRate: Tokens;
};
