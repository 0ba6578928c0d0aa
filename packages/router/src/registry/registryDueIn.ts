import type { Millis } from "@azureshunt/core";

import type { RegistryEvidence } from "./RegistryEvidence.js";

/**
 * Part of the time for which a leaving endpoint still takes requests that passes between two reads. Endpoints write several
 * times a second in all, so waiting for a record would cost a call each time; the rest is for a read that is repeated, and
 * for requests on their way.
 */
const READ_EVERY_PART = 0.35;
/** The same for VMs that leave the reading to another one: some later, so that its word comes first. */
const FOLLOW_PART = 0.5;

type DueQuestion = {
    readonly evidence: RegistryEvidence;
    /** Whether this VM reads for the others. */
    readonly isReader: boolean;
    /** How long an endpoint that leaves still takes requests. */
    readonly leavingMs: Millis;
};

/**
 * Says in how many milliseconds a VM has to read the registry; 0 or less means now.
 *
 * Load: dozens of VMs read the same entries over and over, and nearly all reads show nothing new. One VM reads and tells
 * the others of which entries it did; these read only when they know other ones, or when its word gets old because it has
 * died or is cut off. So a cut failure domain reads for itself without anybody deciding so.
 */
export function registryDueIn({ evidence, isReader, leavingMs }: DueQuestion, now: Millis): Millis {
    const oldest = evidence.asOf + (isReader ? READ_EVERY_PART : FOLLOW_PART) * leavingMs;
    // Views that differ for long, as while entries are missing, lead to no more reads than a reader makes.
    const doubted = evidence.askedAt + READ_EVERY_PART * leavingMs;
    return (evidence.isDoubted ? Math.min(oldest, doubted) : oldest) - now;
}
