import type { Millis } from "@azureshunt/core";

import { livingReaders } from "./livingReaders.js";
import type { Members } from "./Members.js";

/**
 * Says whether this VM reads the registry for the others: the first by name of those that read the store. While two think
 * so, or none, nothing but the number of reads changes.
 */
export function isReader(members: Members, now: Millis): boolean {
    return livingReaders(members, now).every(vm => vm > members.vm);
}
