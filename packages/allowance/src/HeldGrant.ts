import type { FailureDomain, Incarnation, Millis, Tokens, VmId } from "@azureshunt/core";

/** Tokens that this VM holds from one home, and the state of that home's bucket as of its latest answer. */
export type HeldGrant = {
    readonly domain: FailureDomain;
    readonly home: VmId;
    readonly homeIncarnation: Incarnation | undefined;
    readonly left: Tokens;
    /** Tokens that the home counts as not yet spent by this VM. */
    readonly outstandingAtHome: Tokens;
    /** By this VM's clock, measured from when it asked. */
    readonly expiresAt: Millis;
    /** Slot, by the home's clock, at its latest answer. */
    readonly slot: number;
    /** Sequence number of the latest ask. */
    readonly seq: number;
    /** Sequence number of the latest ask that was answered. */
    readonly applied: number;
    /** When the pending ask was sent; undefined if none is pending. */
    readonly pendingSince: Millis | undefined;
    readonly askedAt: Millis;
    readonly answeredAt: Millis;
    /** Time that the home took for its latest answer; 0 before the first one. */
    readonly answerMs: Millis;
    /** When the latest ask failed; undefined once an answer has arrived. */
    readonly failedAt: Millis | undefined;
    /**
     * Since when the home has declined to serve while a hand-over to it is in progress; undefined once an answer has
     * arrived.
     */
    readonly decliningSince: Millis | undefined;
    readonly refunds: readonly { readonly slot: number; readonly tokens: Tokens; }[];
    readonly free: Tokens;
    readonly rate: Tokens;
    readonly elsewhere: Tokens;
    readonly unmet: Tokens;
};
