import type { Incarnation, Tokens } from "@azureshunt/core";

/** A home's answer to an ask for tokens. */
export type GrantAnswer = {
    /** The ask that this answers. */
    readonly seq: number;
    /** The home's process. */
    readonly run: Incarnation;
    /** Whether the tokens that the asker held stay valid, now counted from this ask. */
    readonly extended: boolean;
    readonly granted: Tokens;
    /** Slot of the home's clock, to be sent back with refunds. */
    readonly slot: number;
    /** Tokens left in the bucket. */
    readonly free: Tokens;
    /** Tokens a second that the bucket accrues. */
    readonly rate: Tokens;
    /** Tokens that other VMs hold and were just asked to hand back. */
    readonly elsewhere: Tokens;
    /** Tokens lacking to requests at other VMs that came before the asker's. */
    readonly unmet: Tokens;
};
