type ConnectionView = {
    /** Callers' connections that are served. */
    readonly served: number;
    /** Those beyond, whose requests are refused. */
    readonly refused: number;
    /** Descriptors that the process may have open; `undefined` if not known. */
    readonly maxDescriptors: number | undefined;
};

/**
 * Fractions of the descriptors for callers that are served and that are refused. A served caller needs another one for its
 * request's connection to an endpoint; what is left beside is for the listeners, the store and peers.
 */
const SERVED_FRACTION = 0.35;
const REFUSED_FRACTION = 0.1;
const MAX_REFUSED_FRACTION = 0.25;
/** Fraction of the served connections from which on none is kept for a further request. */
const CROWDED_FRACTION = 0.75;

/**
 * Decides what becomes of a caller's new connection. `serve-once`: it is closed after its answer, so that others get its
 * place. `refuse`: its request is refused. `replace`: as `refuse`, and the oldest refused connection is ended for it.
 * `drop`: as `replace`, without waiting for its caller.
 */
export function connectionAdmission(view: ConnectionView): "serve" | "serve-once" | "refuse" | "replace" | "drop" {
    const { served, refused, maxDescriptors = Infinity } = view;
    const maxServed = SERVED_FRACTION * maxDescriptors;
    if (served < maxServed) {
        return served < CROWDED_FRACTION * maxServed ? "serve" : "serve-once";
    }
    if (refused < REFUSED_FRACTION * maxDescriptors) {
        return "refuse";
    }
    return refused < MAX_REFUSED_FRACTION * maxDescriptors ? "replace" : "drop";
}
