/** Extra tries to make up for endpoints that certainly did not run the request. */
const MAX_EXTRA_TRIES = 2;

/**
 * Returns how many tries a request may have in total.
 *
 * If an engine dies while it runs requests, their retries may meet another engine that has just died too. Such a try
 * has reached no endpoint, so it does not count towards the route's limit, which is on endpoints that may have run the
 * request. At most two of these tries are made up for, since a request that three endpoints refuse comes too late
 * anyway.
 *
 * @param maxTries limit of the route on endpoints that may run the request
 * @param notRun tries so far that certainly did not run the request
 */
export function allowedTries(maxTries: number, notRun: number): number {
    return maxTries + Math.min(MAX_EXTRA_TRIES, notRun);
}
