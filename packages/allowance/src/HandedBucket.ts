import type { Millis, Tokens } from "@azureshunt/core";

/** State of a bucket that a former home hands over to the new one. */
export type HandedBucket = {
    readonly balance: Tokens;
    /** Tokens outstanding under the former home's grants. */
    readonly outstanding: Tokens;
    /** Milliseconds until the last of these grants expires. */
    readonly lapsesIn: Millis;
};
