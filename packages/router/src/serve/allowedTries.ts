/** Extra tries to make up for endpoints that have refused the request. */
const MAX_EXTRA_TRIES = 2;

/**
 * Returns how many tries a request may have in total.
 *
 * The route's limit is on endpoints that may have run the request. If an engine dies while it runs requests, their
 * retries may meet others that have just died, or that are listed although nothing listens there. A try that has opened
 * no connection has cost the endpoints nothing, so all of these are made up for. A refusal costs an endpoint work: at
 * most two are made up for, since a request that three endpoints refuse comes too late anyway.
 *
 * @param maxTries limit of the route on endpoints that may run the request
 * @param unreached tries so far that reached no endpoint
 * @param refused tries so far that reached an endpoint which certainly did not run the request
 */
export function allowedTries(maxTries: number, unreached: number, refused: number): number {
    return maxTries + unreached + Math.min(MAX_EXTRA_TRIES, refused);
}
