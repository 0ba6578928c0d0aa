/** Ends a request with a status and a JSON error; thrown by handlers. */
export class HttpError extends Error {
    constructor(
        readonly status: number,
        message: string,
        readonly headers: Readonly<Record<string, string>> = {},
        readonly details: Readonly<Record<string, unknown>> = {},
    ) {
        super(message);
    }
}
