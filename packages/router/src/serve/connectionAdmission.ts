import type { CallerDescriptors } from "./CallerDescriptors.js";

/**
 * Fractions of the descriptors for callers that are served, with the connections to endpoints that their requests take, and for
 * those that are refused. What is left beside is for the listeners, the store and peers.
 */
const SERVED_FRACTION = 0.7;
/** Fraction for connections that are served, as many of them may send at the same moment. */
const CONNECTIONS_FRACTION = 0.42;
const REFUSED_FRACTION = 0.1;
const MAX_REFUSED_FRACTION = 0.25;
/** Fraction of those for served callers from which on no connection is kept for a further request. */
const CROWDED_FRACTION = 0.75;

/**
 * Decides what becomes of a caller's new connection. `serve-once`: it is closed after its answer, so that others get its
 * place. `refuse`: its request is refused. `replace`: as `refuse`, and the oldest refused connection is ended for it.
 * `drop`: as `replace`, without waiting for its caller.
 */
export function connectionAdmission(view: CallerDescriptors): "serve" | "serve-once" | "refuse" | "replace" | "drop" {
    const { served, unanswered, refused, maxDescriptors = Infinity } = view;
    const usedFraction = Math.max(
        (served + unanswered) / (SERVED_FRACTION * maxDescriptors),
        served / (CONNECTIONS_FRACTION * maxDescriptors),
    );
    if (usedFraction < 1) {
        return usedFraction < CROWDED_FRACTION ? "serve" : "serve-once";
    }
    if (refused < REFUSED_FRACTION * maxDescriptors) {
        return "refuse";
    }
    return refused < MAX_REFUSED_FRACTION * maxDescriptors ? "replace" : "drop";
}
