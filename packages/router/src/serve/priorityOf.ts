import type { Organisation } from "../configuration/Organisation.js";
import type { Route } from "../configuration/Route.js";

/** Route priorities that are distinguished within one organisation priority; endpoints accept ten ranks in total. */
const RANKS_PER_ORGANISATION = 3;

/**
 * Returns the rank of a request for the endpoint that runs it, 0 first: by its organisation, and within that by its
 * route.
 *
 * Short prompts of an urgent kind would otherwise wait in an engine's queue behind prompts of ten thousand tokens, each
 * of which takes 100 ms to prefill. If every organisation has a rank of its own, that rank alone does not distinguish
 * them.
 */
export function priorityOf(
    organisation: Pick<Organisation, "priority"> | undefined,
    route: Pick<Route, "priority">,
): number {
    return (organisation?.priority ?? 0) * RANKS_PER_ORGANISATION +
        Math.min(RANKS_PER_ORGANISATION - 1, route.priority);
}
