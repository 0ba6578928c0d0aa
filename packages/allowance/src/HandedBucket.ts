import type { Millis, Tokens } from "@azureshunt/core";

/** What a former home tells the new one of a bucket. */
export type HandedBucket = {
    readonly balance: Tokens;
    /** Tokens that stand out under the former home's grants. */
    readonly outstanding: Tokens;
    /** Milliseconds until the last of these grants has run out. */
    readonly lapsesIn: Millis;
};
