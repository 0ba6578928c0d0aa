import type { Millis } from "@azureshunt/core";

/** A kind of requests: those of one route. */
export type LoadKind = {
    readonly name: string;
    /** 0 is the most urgent. */
    readonly priority: number;
    readonly objectiveMs: Millis;
};
