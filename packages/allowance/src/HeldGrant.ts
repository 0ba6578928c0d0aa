import type { FailureDomain, Incarnation, Millis, Tokens, VmId } from "@azureshunt/core";

/** Tokens that this VM holds of one home, and what that home last told of its bucket. */
export type HeldGrant = {
    readonly domain: FailureDomain;
    readonly home: VmId;
    readonly homeRun: Incarnation | undefined;
    readonly left: Tokens;
    /** What the home counts as unspent here. */
    readonly counted: Tokens;
    /** On this VM's clock, counted from when it asked. */
    readonly expiresAt: Millis;
    /** Slot of the home's clock at its latest answer. */
    readonly slot: number;
    /** Sequence number of the latest ask, and of the latest one answered. */
    readonly seq: number;
    readonly applied: number;
    /** When the ask that is under way was sent. */
    readonly pendingSince: Millis | undefined;
    readonly askedAt: Millis;
    readonly heardAt: Millis;
    /** How long the home took for its latest answer; 0 before the first one. */
    readonly answerMs: Millis;
    /** When the latest ask failed; undefined once an answer came. */
    readonly failedAt: Millis | undefined;
    /** Since when the home has declined to serve, as its hand-over is under way; undefined once an answer came. */
    readonly decliningSince: Millis | undefined;
    readonly refunds: readonly { readonly slot: number; readonly tokens: Tokens; }[];
    readonly free: Tokens;
    readonly rate: Tokens;
    readonly elsewhere: Tokens;
    readonly unmet: Tokens;
};
