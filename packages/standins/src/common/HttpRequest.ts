import type { IncomingMessage, ServerResponse } from "node:http";

/** One request as a route's handler gets it. */
export type HttpRequest = {
    readonly req: IncomingMessage;
    readonly res: ServerResponse;
    readonly method: string;
    readonly path: string;
    readonly query: URLSearchParams;
    /** What the groups of the route's pattern matched, percent-decoded. */
    readonly params: readonly string[];
};
