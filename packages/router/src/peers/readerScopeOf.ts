import type { Millis } from "@azureshunt/core";

import { isReader } from "./isReader.js";
import type { Members } from "./Members.js";
import type { ReaderScope } from "./ReaderScope.js";

/** Returns for which VMs this VM reads the operators' declarations. */
export function readerScopeOf(members: Members, now: Millis): ReaderScope {
    if (isReader(members, now)) {
        return "fleet";
    }
    return isReader(members, now, members.failureDomain) ? "domain" : "none";
}
