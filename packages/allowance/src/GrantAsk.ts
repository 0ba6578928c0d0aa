import type { Incarnation, Millis, Tokens } from "@azureshunt/core";

/** A VM's ask for tokens. Each one reports all that the VM holds from this home, so a lost ask does no lasting harm. */
export type GrantAsk = {
    /** Incarnation of the asking VM. */
    readonly run: Incarnation;
    /** Incarnation of the home as known to the asking VM; the fields below refer to grants of that incarnation only. */
    readonly home: Incarnation | undefined;
    /** Sequence number, incremented with each ask to this home. */
    readonly seq: number;
    /** Sequence number of the latest ask that was answered. Answers to asks after it will never be used. */
    readonly applied: number;
    /** Tokens of this home that the asking VM may still spend. */
    readonly held: Tokens;
    /** Tokens handed back; the asking VM has debited them before sending this. */
    readonly giveBack: Tokens;
    /** Tokens that waiting requests lack. */
    readonly need: Tokens;
    /** Time for which the oldest of these requests has waited. */
    readonly waitedMs: Millis;
    /** Tokens asked for in addition, ahead of need. */
    readonly ahead: Tokens;
    /** Tokens charged and not used, each with the slot from the answer that granted them. */
    readonly refunds: readonly { readonly slot: number; readonly tokens: Tokens; }[];
};
