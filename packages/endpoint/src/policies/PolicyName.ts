/** Names of the policies, as the settings use them. */
export type PolicyName = "azureshunt" | "prefix-affinity" | "least-loaded" | "round-robin";
