/** What a reader of an answer checks at its end, beside what it saw of it. */
export type EndChecks = {
    /** Confirms that the answer is whole if only the close of its connection ended it. */
    readonly confirm: () => Promise<boolean>;
    /** Whether the time is up that the endpoint was given. */
    readonly isTimeUp: () => boolean;
};
