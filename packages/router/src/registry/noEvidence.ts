import type { RegistryEvidence } from "./RegistryEvidence.js";

/** Nothing has been read or heard of the registry. */
const noEvidence: RegistryEvidence = { asOf: -Infinity, isDoubted: false, askedAt: -Infinity, countsFrom: -Infinity };

export { noEvidence };
