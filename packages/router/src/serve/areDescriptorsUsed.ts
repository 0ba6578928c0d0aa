import type { CallerDescriptors } from "./CallerDescriptors.js";

/** Fraction of the descriptors that callers may take; the rest is for the listeners, the store and peers. */
const CALLERS_FRACTION = 0.9;

/**
 * Whether callers have all descriptors that are for them. Connections are admitted before their requests come; so that these
 * find a descriptor each, a refused connection is ended then for each further one.
 */
export function areDescriptorsUsed(
    { served, unanswered, refused, maxDescriptors = Infinity }: CallerDescriptors,
): boolean {
    return served + unanswered + refused >= CALLERS_FRACTION * maxDescriptors;
}
