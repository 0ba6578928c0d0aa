import type { ServerResponse } from "node:http";

/** Sends a complete answer with a JSON body. */
export function sendJson(
    res: ServerResponse,
    status: number,
    body: unknown,
    headers: Readonly<Record<string, string>> = {},
): void {
    const text = JSON.stringify(body);
    res.writeHead(status, {
        ...headers,
        "content-type": "application/json",
        "content-length": Buffer.byteLength(text),
    });
    res.end(text);
}
