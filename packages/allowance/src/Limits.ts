import type { Tokens } from "@azureshunt/core";

/** What an organisation, or one failure domain's share of it, may spend. */
export type Limits = {
    /** Tokens a second. */
    readonly rate: Tokens;
    /** Tokens that may be spent at once. */
    readonly burst: Tokens;
};
