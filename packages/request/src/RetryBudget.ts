/**
 * Tokens for tries beyond the first, shared by all requests of a daemon: over any span, such tries number at most
 * `capacity` plus `perRequest` times the requests.
 */
export type RetryBudget = {
    readonly balance: number;
    readonly capacity: number;
    /** Part of a token that each arriving request adds. */
    readonly perRequest: number;
};
