import type { Millis, Tokens } from "@azureshunt/core";

import type { Members } from "./Members.js";

/** What a VM told of its callers counts for so long, also when it is gone: its callers go to other VMs. */
const DEMAND_MS = 5_000;

/** Adds up the prompt tokens that callers send to the other VMs in a millisecond. */
export function othersDemand(members: Members, now: Millis): Tokens {
    return [...members.known.values()]
        .reduce(
            (sum, { heard }) => sum + (heard !== undefined && now - heard.at < DEMAND_MS ? heard.beacon.demand : 0),
            0,
        );
}
