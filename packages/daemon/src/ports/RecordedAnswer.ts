/** The answer of a plain service, as recorded for repetitions of the request. */
export type RecordedAnswer = {
    readonly status: number;
    readonly contentType: string | undefined;
    /** The body in base64. */
    readonly body: string;
};
