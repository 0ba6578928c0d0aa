/** What a request's earlier tries mean for where it is placed next. */
export type ReachPreference = {
    /** Whether an endpoint was not reached for it. */
    readonly isAfterUnreached: boolean;
    /** Whether it may get an endpoint in backoff if there is no other. */
    readonly mayBeInBackoff: boolean;
};
