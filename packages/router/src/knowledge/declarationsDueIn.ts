import type { Millis } from "@azureshunt/core";

import type { Knowledge } from "./Knowledge.js";

/**
 * Age of its evidence at which a VM that leaves the reading to another one reads for itself: early enough that a second read
 * still comes before keys are refused, and late enough for a beacon or two to be lost.
 */
const FOLLOW_MS: Millis = 2_500;

type DueQuestion = {
    readonly knowledge: Knowledge;
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
export function declarationsDueIn({ knowledge, isReader }: DueQuestion, now: Millis): Millis {
    const isBehind = knowledge.heardRevision > (knowledge.configuration?.revision ?? -1);
    return isReader || isBehind ? 0 : knowledge.confirmedAt + FOLLOW_MS - now;
}
