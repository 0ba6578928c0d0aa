/** One encoded HTTP call. */
export type EncodedCall = {
    readonly method: string;
    readonly target: string;
    readonly headers: readonly string[];
    readonly body: Buffer;
};
