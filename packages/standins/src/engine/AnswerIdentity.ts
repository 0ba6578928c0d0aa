/** Ties an answer to one dispatch. */
export type AnswerIdentity = {
    readonly dispatchId: string;
    /** Seed from which the answer's tokens are generated. */
    readonly seed: number;
};
