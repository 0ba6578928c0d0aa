import { once } from "node:events";
import { createServer } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";
import { connect } from "node:net";
import type { AddressInfo } from "node:net";

import { readBody } from "@azureshunt/http";
import test from "ava";

const LIMIT = 100_000;
const CLOSE = "Connection: close\r\n";

/** Sends bytes to a server that reads the body after a turn of the event loop, and returns what it read. */
const read = async (requestParts: readonly string[], isCutOff: boolean, waits: boolean): Promise<string> => {
    const state = { settle: undefined as ((text: string) => void) | undefined };
    const result = new Promise<string>(resolve => {
        state.settle = resolve;
    });
    const sizes: number[] = [];
    const serve = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
        await new Promise(resolve => setImmediate(resolve));
        const body = await readBody(req, LIMIT, bytes => {
            sizes.push(bytes);
            return waits ? Promise.resolve(undefined) : undefined;
        });
        const counted = sizes.reduce((sum, size) => sum + size, 0);
        state.settle?.(body.caseOf({
            Left: ({ kind }) => kind,
            Right: bytes => `${bytes.length} bytes, ${counted} counted`,
        }));
        res.writeHead(200, { connection: "close" });
        res.end();
    };
    const server = createServer((req, res) => void serve(req, res));
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
    socket.on("error", () => undefined);
    socket.resume();
    for (const part of requestParts) {
        socket.write(part, "latin1");
        await new Promise(resolve => setTimeout(resolve, 10));
    }
    if (isCutOff) {
        socket.resetAndDestroy();
    }
    const text = await result;
    socket.destroy();
    server.close();
    return text;
};

const head = (size: number): string => `POST / HTTP/1.1\r\nHost: a\r\n${CLOSE}Content-Length: ${size}\r\n\r\n`;
const chunked = `POST / HTTP/1.1\r\nHost: a\r\n${CLOSE}Transfer-Encoding: chunked\r\n\r\n`;
const chunk = (size: number): string => `${size.toString(16)}\r\n${"b".repeat(size)}\r\n`;

// Guards against a body that is read in part, without its bound, or for a caller that has left.
[
    { name: "no body", parts: [head(0)], expected: "0 bytes, 0 counted" },
    {
        name: "a body that arrives with its head",
        parts: [head(800) + "b".repeat(800)],
        expected: "800 bytes, 800 counted",
    },
    {
        name: "a body in parts",
        parts: [head(60_000), "b".repeat(30_000), "b".repeat(30_000)],
        expected: "60000 bytes, 60000 counted",
    },
    { name: "a size over the limit", parts: [head(LIMIT + 1)], expected: "body-too-large" },
    {
        name: "chunks over the limit",
        parts: [chunked, chunk(LIMIT - 1), chunk(2_000), chunk(2_000)],
        expected: "body-too-large",
    },
    {
        name: "a last chunk over the limit, each waiting for its turn",
        parts: [chunked, chunk(LIMIT - 1), `${chunk(2_000)}0\r\n\r\n`],
        waits: true,
        expected: "body-too-large",
    },
    { name: "a caller that leaves", parts: [head(800), "b"], isCutOff: true, expected: "caller-gone" },
].forEach(({ name, parts, isCutOff = false, waits = false, expected }) => {
    test(`read body: ${name}`, async t => {
        t.is(await read(parts, isCutOff, waits), expected);
    });
});
