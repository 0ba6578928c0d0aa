import type { RequestId } from "@azureshunt/core";

/** One request in so many has its ordinary decisions logged; failed and refused ones always have. */
const SAMPLE = 16;
const BASE = 31;

/** Whether a request's ordinary decisions are logged: by its id, so that all VMs log the same requests. */
export function isSampled(id: RequestId): boolean {
    return [...id].reduce((hash, char) => (hash * BASE + char.charCodeAt(0)) % SAMPLE, 0) === 0;
}
