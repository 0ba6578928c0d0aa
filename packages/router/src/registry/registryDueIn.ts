import type { Millis } from "@azureshunt/core";

import type { RegistryFreshness } from "./RegistryFreshness.js";

/**
 * Time between two reads, as a fraction of the time for which a leaving endpoint still takes requests. The rest of that
 * time is for a read that must be repeated and for requests in transit. Reads do not wait for a record: endpoints
 * together write several times a second, and each record would cost a call.
 */
const READ_INTERVAL_FRACTION = 0.35;
/** The same for VMs that rely on a reader. Longer, so that the reader's beacon arrives first. */
const FOLLOWER_INTERVAL_FRACTION = 0.5;

type DueInputs = {
    readonly freshness: RegistryFreshness;
    /** Whether this VM reads for the others. */
    readonly isReader: boolean;
    /** Whether the versions of weights that the entries state may be outdated, although the entries are confirmed. */
    readonly areVersionsInDoubt?: boolean;
    /** How long a leaving endpoint still takes requests. */
    readonly leavingMs: Millis;
};

/**
 * Returns in how many milliseconds a VM has to read the registry; 0 or less means now.
 *
 * With dozens of VMs reading the same entries, nearly all reads would return nothing new. So one VM reads and sends the
 * digest of its entries to the others. These read only if their entries differ, or if the reader's last digest becomes
 * too old because the reader died or is cut off. A failure domain that is cut off thus starts to read without any
 * coordination.
 *
 * The digest leaves the versions of weights out, so that a release of weights does not make all VMs read at each engine that
 * has loaded them. A VM whose decisions rest on a version that the store may no longer state reads for itself.
 */
export function registryDueIn(
    { freshness, isReader, areVersionsInDoubt = false, leavingMs }: DueInputs,
    now: Millis,
): Millis {
    const dueByAge = freshness.asOf + (isReader ? READ_INTERVAL_FRACTION : FOLLOWER_INTERVAL_FRACTION) * leavingMs;
    // If views differ for long, for example while entries are missing, this VM reads no more often than a reader does.
    const dueIfContradicted = freshness.requestedAt + READ_INTERVAL_FRACTION * leavingMs;
    return (freshness.isContradicted || areVersionsInDoubt ? Math.min(dueByAge, dueIfContradicted) : dueByAge) - now;
}
