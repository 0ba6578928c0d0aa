import type { OrganisationId } from "@azureshunt/core";

import type { Organisation } from "../../configuration/Organisation.js";

/** Returns an organisation with a rate and a burst in tokens. */
export function organisationOf(ratePerSecond: number, burst: number, id = "org"): Organisation {
    return {
        id: id as OrganisationId,
        keys: [],
        priority: undefined,
        isIsolated: false,
        countsRequests: false,
        ratePerSecond,
        burst,
        defaultTokens: 1,
    };
}
