import type { Tokens } from "@azureshunt/core";

/** Tokens that an organisation's homes can be expected to supply, as known to this VM. */
export type Outlook = {
    /** Whether each home has answered, or failed to answer, recently enough to decide on waiting requests. */
    readonly isInformed: boolean;
    /** Whether all homes have just taken over and do not serve yet, as after all VMs were started. */
    readonly isTakingOver: boolean;
    /** Tokens expected to be free now in the buckets of reachable homes. */
    readonly free: Tokens;
    /** Tokens that other VMs hold and may hand back. */
    readonly recallable: Tokens;
    /** Tokens that requests waiting at other VMs lack, where they came before those waiting here. */
    readonly unmet: Tokens;
    /** Tokens per second that reachable homes accrue. */
    readonly rate: Tokens;
    /** Burst and rate of homes that are unreachable. */
    readonly unreachableBurst: Tokens;
    readonly unreachableRate: Tokens;
};
