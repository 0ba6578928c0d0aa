/** Further tries for endpoints that surely did not run the request. */
const MOST_NOT_RUN = 2;

/**
 * Says how many tries a request may have in all.
 *
 * Load: an engine dies under its requests, their next try meets another one that has just died too. That try has reached
 * nobody, so it takes nothing from the route's limit, which counts endpoints that may have run the request. Two of them at
 * most are made up for, since a request that three endpoints turn away comes too late anyway.
 *
 * @param maxTries endpoints that the request may run on, by its route
 * @param notRun tries so far that surely did not run
 */
export function allowedTries(maxTries: number, notRun: number): number {
    return maxTries + Math.min(MOST_NOT_RUN, notRun);
}
