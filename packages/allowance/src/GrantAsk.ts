import type { Incarnation, Millis, Tokens } from "@azureshunt/core";

/** A VM's ask for tokens. Each one reports all that the VM holds of this home, so that a lost one does no lasting harm. */
export type GrantAsk = {
    /** The asking process. */
    readonly run: Incarnation;
    /** The home's process as the asker knows it: what follows refers to that one's grants only. */
    readonly home: Incarnation | undefined;
    /** Grows by one with each ask to this home. */
    readonly seq: number;
    /** Sequence number of the latest ask whose answer came. Answers in between will never be used. */
    readonly applied: number;
    /** Tokens of this home that the asker may still spend. */
    readonly held: Tokens;
    /** Tokens handed back; the asker has debited them before it sent this. */
    readonly giveBack: Tokens;
    /** Tokens that waiting requests lack. */
    readonly need: Tokens;
    /** Milliseconds that the oldest of these requests has waited. */
    readonly waitedMs: Millis;
    /** Tokens wanted besides, ahead of need. */
    readonly ahead: Tokens;
    /** Tokens charged and not used, by the slot that the grant's answer named. */
    readonly refunds: readonly { readonly slot: number; readonly tokens: Tokens; }[];
};
