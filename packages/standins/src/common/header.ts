import type { IncomingMessage } from "node:http";

/** Returns the value of a request's header, its first one if there are several; `undefined` if it is missing. */
export function header(req: IncomingMessage, name: string): string | undefined {
    const value = req.headers[name];
    return Array.isArray(value) ? value[0] : value;
}
