import type { Tokens } from "@azureshunt/core";

/** Spending limits of an organisation, or of one failure domain's share of it. */
export type Limits = {
    /** Tokens per second. */
    readonly rate: Tokens;
    /** Tokens that may be spent at once. */
    readonly burst: Tokens;
};
