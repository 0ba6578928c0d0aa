import type { Millis } from "@azureshunt/core";

/** Answers in the current window and in the one before: how many, and the shortest time, which is infinite if none. */
export type AnswerTimes = {
    readonly since: Millis;
    readonly current: Millis;
    readonly currentCount: number;
    readonly previous: Millis;
    readonly previousCount: number;
};
