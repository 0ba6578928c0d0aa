/** Thrown by a route's handler to answer with a status and a JSON error. */
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
