import type { Millis } from "@azureshunt/core";

/** Shortest times to answer in the current window and in the one before; infinite if there was none. */
export type AnswerTimes = {
    readonly since: Millis;
    readonly current: Millis;
    readonly previous: Millis;
    /** Answers since the first window. */
    readonly count: number;
};
