/**
 * Returns whether a new request is refused. Load: requests that may not be cut off hold the whole budget.
 *
 * @param heldBytes what is left after `chooseCuts`
 */
export function isExhausted(heldBytes: number, budget: number): boolean {
    return heldBytes >= budget;
}
