import { leastLoaded } from "./leastLoaded.js";
import { lowestEstimate } from "./lowestEstimate.js";
import type { Policy } from "./Policy.js";
import type { PolicyName } from "./PolicyName.js";
import { prefixAffinity } from "./prefixAffinity.js";
import { roundRobin } from "./roundRobin.js";

const POLICIES: Readonly<Record<PolicyName, Policy>> = {
    "azureshunt": lowestEstimate,
    "prefix-affinity": prefixAffinity,
    "least-loaded": leastLoaded,
    "round-robin": roundRobin,
};

/** Returns the policy with the given name. */
export function policyOf(name: PolicyName): Policy {
    return POLICIES[name];
}
