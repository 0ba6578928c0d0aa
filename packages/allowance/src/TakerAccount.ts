import type { Incarnation, Millis, Tokens } from "@azureshunt/core";

/** What a bucket knows of one VM that it grants tokens to. */
export type TakerAccount = {
    readonly run: Incarnation;
    /** Highest sequence number of an ask seen; lower and equal ones are repetitions or overtaken. */
    readonly seq: number;
    /** Tokens that the taker may still spend, at most. */
    readonly outstanding: Tokens;
    /** When `outstanding` runs out. */
    readonly until: Millis;
    /** Tokens granted by the latest answer; void when the taker's next ask says that the answer never came. */
    readonly lastGrant: Tokens;
    /** Tokens that waiting requests of the taker lacked after the latest answer. */
    readonly unmet: Tokens;
    /** When the oldest of these requests came, on the home's clock. */
    readonly waitingSince: Millis;
    readonly seenAt: Millis;
    readonly recalledAt: Millis;
};
