import type { Millis, Tokens, VmId } from "@azureshunt/core";

/** What another VM has told of its spending for one organisation. */
type PeerSpending = {
    /** Tokens spent since that VM's process began; undefined until it has told. */
    readonly spent: Tokens | undefined;
    /** Tokens that were taken as spent there while it was out of hearing. */
    readonly assumed: Tokens;
};

/** One organisation's allowance as one VM reckons it: a bucket for all VMs, drained by all their spending. */
export type SharedAllowance = {
    readonly ratePerSecond: Tokens;
    readonly burst: Tokens;
    /** Tokens that may be spent; below 0 when the VMs together went ahead of what each knew. */
    readonly level: Tokens;
    readonly at: Millis;
    readonly openedAt: Millis;
    /** How far below 0 the level may go before requests are refused; 0 once the process knows what the others spend. */
    readonly overdraft: Tokens;
    /** Tokens that this process has spent. */
    readonly ownSpent: Tokens;
    /** By VM; a restarted VM counts from 0 again. */
    readonly peers: ReadonlyMap<VmId, PeerSpending>;
};
