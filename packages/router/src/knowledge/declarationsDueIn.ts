import type { Millis } from "@azureshunt/core";

import type { Knowledge } from "./Knowledge.js";

/**
 * Age of its evidence at which a VM that leaves the reading to another one reads for itself: early enough that a second read
 * still comes before keys are refused, and late enough for a beacon or two to be lost.
 */
const FOLLOW_MS: Millis = 2_500;

/** Least time between two reads: the store may be behind, or hold nothing that can be read, for seconds. */
const AGAIN_MS: Millis = 250;

type DueQuestion = {
    readonly knowledge: Knowledge;
    /** When this VM last asked the store; −∞ before it has. */
    readonly askedAt: Millis;
    /** Whether this VM reads the declarations for the others of its failure domain. */
    readonly isReader: boolean;
};

/**
 * Says in how many milliseconds a VM has to read the operators' declarations; 0 or less means now.
 *
 * Load: dozens of VMs each keep a read waiting, and nearly all of these reads show nothing. One VM of each failure domain
 * reads, and its beacons vouch for the others' knowledge. A VM that hears of a newer revision reads it at once, and one
 * whose evidence gets old, as its reader has died or is cut off, reads for itself without anybody deciding so.
 */
export function declarationsDueIn({ knowledge, askedAt, isReader }: DueQuestion, now: Millis): Millis {
    if (isReader) {
        return 0;
    }
    const isBehind = knowledge.heardRevision > (knowledge.configuration?.revision ?? -1);
    const wantedAt = isBehind ? -Infinity : knowledge.confirmedAt + FOLLOW_MS;
    return Math.max(wantedAt, askedAt + AGAIN_MS) - now;
}
