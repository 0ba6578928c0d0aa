import type { Incarnation, Millis, Tokens } from "@azureshunt/core";

/** Account that a bucket keeps of one VM that holds tokens granted from it. */
export type HolderAccount = {
    readonly incarnation: Incarnation;
    /** Highest sequence number of an ask received; an ask with a lower or equal one was repeated or overtaken. */
    readonly seq: number;
    /** Tokens that the holder may still spend, at most. */
    readonly outstanding: Tokens;
    /** When `outstanding` expires. */
    readonly until: Millis;
    /** Tokens granted by the latest answer; void if the holder's next ask shows that the answer never arrived. */
    readonly lastGrant: Tokens;
    /** Tokens that waiting requests of the holder lacked after the latest answer. */
    readonly unmet: Tokens;
    /** When the oldest of these requests arrived, by the home's clock. */
    readonly waitingSince: Millis;
    readonly seenAt: Millis;
    readonly recalledAt: Millis;
};
