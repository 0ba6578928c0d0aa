import type { FailureDomain, Millis } from "@azureshunt/core";

import { livingReaders } from "./livingReaders.js";
import type { Members } from "./Members.js";

/**
 * Says whether this VM reads the store for the others: the first by name of those that read it. While two think so, or
 * none, nothing but the number of reads changes.
 *
 * @param domain where it reads for its own failure domain alone; undefined where it reads for all
 */
export function isReader(members: Members, now: Millis, domain?: FailureDomain): boolean {
    return livingReaders(members, now, domain).every(vm => vm > members.vm);
}
