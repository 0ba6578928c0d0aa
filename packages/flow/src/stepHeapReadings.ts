import type { Millis } from "@azureshunt/core";

import type { HeapLevel } from "./HeapLevel.js";
import { heapLevels } from "./heapLevels.js";
import type { HeapReadings } from "./HeapReadings.js";

/** A reading of the bytes in use, at some time or right after a full collection. */
type HeapEvent = {
    readonly kind: "read" | "collected";
    readonly usedBytes: number;
    readonly limitBytes: number;
};

type HeapStep = {
    readonly state: HeapReadings;
    /** Level that is reported now with all that the heap holds; `undefined` if nothing is. */
    readonly report: HeapLevel | undefined;
};

const LEVELS: readonly HeapLevel[] = ["ordinary", "raised", "high", "critical"];

const startOf = (level: HeapLevel): number => level === "ordinary" ? -Infinity : heapLevels[level];

/** Level to which a heap at `level` steps with this fraction in use. */
const nextLevel = (level: HeapLevel, fraction: number): HeapLevel => {
    const isIn = (other: HeapLevel): boolean => {
        const isEntered = LEVELS.indexOf(other) <= LEVELS.indexOf(level);
        return fraction >= startOf(other) - (isEntered ? heapLevels.gap : 0);
    };
    return LEVELS.findLast(isIn) ?? "ordinary";
};

/**
 * Applies a reading. Each step to a higher level is reported, and the highest level again while it lasts, as the process
 * may end at any time there.
 */
export function stepHeapReadings(
    state: HeapReadings,
    { kind, usedBytes, limitBytes }: HeapEvent,
    now: Millis,
): HeapStep {
    const level = nextLevel(state.level, usedBytes / limitBytes);
    const isHigher = (other: HeapLevel): boolean => LEVELS.indexOf(level) > LEVELS.indexOf(other);
    const isDue = now - state.reported.at >= heapLevels.repeatMs;
    const isReported = isHigher(state.level) ? isDue || isHigher(state.reported.level) : level === "critical" && isDue;
    return {
        state: {
            usedBytes,
            liveBytes: kind === "collected" ? usedBytes : state.liveBytes,
            level,
            reported: isReported ? { level, at: now } : state.reported,
        },
        report: isReported ? level : undefined,
    };
}
