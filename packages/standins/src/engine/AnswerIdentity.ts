/** What marks an answer as the answer to one dispatch. */
export type AnswerIdentity = {
    readonly dispatchId: string;
    /** Seed of the answer's tokens. */
    readonly seed: number;
};
