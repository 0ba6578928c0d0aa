import type { IncomingMessage } from "node:http";

/** The value of a request's header; undefined when it is not there. */
export function header(req: IncomingMessage, name: string): string | undefined {
    const value = req.headers[name];
    return Array.isArray(value) ? value[0] : value;
}
