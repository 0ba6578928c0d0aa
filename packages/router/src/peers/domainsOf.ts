import type { FailureDomain } from "@azureshunt/core";

import type { Members } from "./Members.js";

/** Lists the failure domains of all known VMs, this VM's own first. */
export function domainsOf({ failureDomain, known }: Members): readonly FailureDomain[] {
    const others = [...known.values()].map(member => member.failureDomain);
    return [...new Set([failureDomain, ...others])].filter(domain => domain !== undefined);
}
