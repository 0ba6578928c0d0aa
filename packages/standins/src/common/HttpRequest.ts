import type { IncomingMessage, ServerResponse } from "node:http";

/** One request as it is passed to a route's handler. */
export type HttpRequest = {
    readonly req: IncomingMessage;
    readonly res: ServerResponse;
    readonly method: string;
    readonly path: string;
    readonly query: URLSearchParams;
    /** Matches of the groups in the route's pattern, percent-decoded. */
    readonly params: readonly string[];
};
