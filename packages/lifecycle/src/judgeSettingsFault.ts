import type { Millis } from "@azureshunt/core";

/** How long a settings file has been unusable. */
type FaultAge = {
    /** Whether there is no file, or an empty one. */
    readonly isMissing: boolean;
    /** Time since it was first found unusable. */
    readonly faultMs: Millis;
    /** Time since its text last changed. */
    readonly unchangedMs: Millis;
};

/** A file that is replaced is missing, or grows, for a moment; one that has stood still for this long is as it is meant. */
const SETTLED_MS = 1_000;
/** Longest time to wait for a file that is missing, or keeps changing. */
const MISSING_MS = 10_000;

/** Decides whether to wait for a settings file that is missing or cannot be used, as it may be about to be replaced. */
export function judgeSettingsFault({ isMissing, faultMs, unchangedMs }: FaultAge): "wait" | "give-up" {
    const isSettled = !isMissing && unchangedMs >= SETTLED_MS;
    return isSettled || faultMs >= MISSING_MS ? "give-up" : "wait";
}
