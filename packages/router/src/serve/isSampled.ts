import type { RequestId } from "@azureshunt/core";

/** One request in 16 has its ordinary decisions logged; failed and refused requests always have theirs. */
const SAMPLE_INTERVAL = 16;
const HASH_MULTIPLIER = 31;

/**
 * Returns whether a request's ordinary decisions are logged. Depends on the id only, so that all VMs log the same ones.
 */
export function isSampled(id: RequestId): boolean {
    let hash = 0;
    for (const char of id) {
        hash = (hash * HASH_MULTIPLIER + char.charCodeAt(0)) % SAMPLE_INTERVAL;
    }
    return hash === 0;
}
