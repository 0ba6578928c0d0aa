import type { Incarnation, Tokens } from "@azureshunt/core";

/** A home's answer to an ask for tokens. */
export type GrantAnswer = {
    /** Sequence number of the ask that this answers. */
    readonly seq: number;
    /** Incarnation of the home. */
    readonly run: Incarnation;
    /** Whether the tokens that the asking VM held stay valid, for another grant time from this ask. */
    readonly extended: boolean;
    readonly granted: Tokens;
    /** Current slot by the home's clock; the asking VM sends it back with refunds. */
    readonly slot: number;
    /** Tokens left in the bucket. */
    readonly free: Tokens;
    /** Tokens per second that the bucket accrues. */
    readonly rate: Tokens;
    /** Tokens of this bucket that other VMs hold. They are recalled if the need was not met. */
    readonly elsewhere: Tokens;
    /** Tokens that requests waiting at other VMs lack, where they came before those of the asking VM. */
    readonly unmet: Tokens;
};
