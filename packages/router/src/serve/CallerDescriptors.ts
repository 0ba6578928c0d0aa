/** What callers take of the descriptors of this process. */
export type CallerDescriptors = {
    /** Callers' connections that are served. */
    readonly served: number;
    /** Requests of them without a whole answer; each takes a further connection, to an endpoint. */
    readonly unanswered: number;
    /** Those beyond, whose requests are refused. */
    readonly refused: number;
    /** Descriptors that the process may have open; `undefined` if not known. */
    readonly maxDescriptors: number | undefined;
};
