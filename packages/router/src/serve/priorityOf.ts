import type { Organisation } from "../configuration/Organisation.js";
import type { Route } from "../configuration/Route.js";

/** Ranks of routes that are told apart within one rank of organisations: endpoints take ten ranks in all. */
const ROUTE_RANKS = 3;

/**
 * Ranks a request for the endpoint that runs it, 0 first: by its organisation, and within that by its route.
 *
 * Load: short prompts of an urgent kind wait in an engine's queue behind prompts of ten thousand tokens, each of which
 * takes 100 ms to read. Where all organisations have a rank of their own, going by that alone makes all requests alike.
 */
export function priorityOf(
    organisation: Pick<Organisation, "priority"> | undefined,
    route: Pick<Route, "priority">,
): number {
    return (organisation?.priority ?? 0) * ROUTE_RANKS + Math.min(ROUTE_RANKS - 1, route.priority);
}
