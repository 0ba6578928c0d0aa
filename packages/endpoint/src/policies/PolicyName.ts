/** Name of a policy in the settings. */
export type PolicyName = "azureshunt" | "prefix-affinity" | "least-loaded" | "round-robin";
