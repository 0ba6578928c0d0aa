import type { RegistryFreshness } from "./RegistryFreshness.js";

/** Freshness before anything was read of the registry or received from a peer. */
const initialRegistryFreshness: RegistryFreshness = {
    asOf: -Infinity,
    isContradicted: false,
    requestedAt: -Infinity,
    validFrom: -Infinity,
};

export { initialRegistryFreshness };
