/**
 * Token bucket for retries, shared by many requests. Over any period, there are at most `capacity` retries plus
 * `perRequest` times the number of requests.
 */
export type RetryBudget = {
    readonly balance: number;
    readonly capacity: number;
    /** Fraction of a token that each arriving request adds. */
    readonly perRequest: number;
};
