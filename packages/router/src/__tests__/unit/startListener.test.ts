import type { IncomingMessage, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";

import test from "ava";
import { request } from "undici";

import { startListener } from "../../serve/startListener.js";

type Handler = (req: IncomingMessage, res: ServerResponse) => Promise<void> | void;

const fault = new Error("fault");
const throwFault = (): never => {
    throw fault;
};

const start = async (handler: Handler) => {
    const faults: (readonly [what: string, err: unknown])[] = [];
    const server = await startListener("127.0.0.1:0", handler, (what, err) => void faults.push([what, err]));
    const { port } = server.address() as AddressInfo;
    const ask = async (path: string): Promise<string> => {
        const options = { protocol: "http:", hostname: "127.0.0.1", port, path } as const;
        const res = await request(options).catch(() => undefined);
        const body = await res?.body.text().catch(() => "cut off");
        return `${res?.statusCode} ${body}`;
    };
    return { server, ask, faults };
};

const cases: readonly {
    readonly name: string;
    readonly handle: Handler;
    readonly answer: string;
    readonly fault: readonly [what: string, code: string];
}[] = [
    { name: "throws", handle: throwFault, answer: "500 ", fault: ["request", "fault"] },
    { name: "rejects", handle: () => Promise.reject(fault), answer: "500 ", fault: ["request", "fault"] },
    {
        name: "rejects once its answer has begun",
        handle: (_req, res) => {
            res.write("begun");
            return Promise.reject(fault);
        },
        answer: "200 cut off",
        fault: ["request", "fault"],
    },
    {
        name: "answers with a status that is none",
        handle: (_req, res) => void res.writeHead(99).end(),
        answer: "500 ",
        fault: ["request", "ERR_HTTP_INVALID_STATUS_CODE"],
    },
    {
        name: "answers with a header that is none",
        handle: (_req, res) => void res.writeHead(200, ["x", "a\nb"]).end(),
        answer: "500 ",
        fault: ["request", "ERR_INVALID_CHAR"],
    },
    {
        name: "writes after the end of its answer",
        handle: (_req, res) => {
            res.end("whole");
            res.write("more");
        },
        answer: "200 whole",
        fault: ["answer", "ERR_STREAM_WRITE_AFTER_END"],
    },
];
// Guards against an error within one request that ends the process, and with it all other requests.
cases.forEach(({ name, handle, answer, fault: [what, code] }) => {
    test(`startListener: a handler that ${name} fails its request alone`, async t => {
        const { server, ask, faults } = await start((req, res) =>
            req.url === "/sound" ? void res.end("sound") : handle(req, res)
        );
        t.teardown(() => server.close());
        t.is(await ask("/"), answer);
        t.is(await ask("/sound"), "200 sound");
        t.deepEqual(
            faults.map(([each, err]) => [each, (err as NodeJS.ErrnoException).code ?? (err as Error).message]),
            [
                [what, code],
            ],
        );
    });
});

// Guards against a process that ends as it cannot accept connections for a while.
test("startListener: errors of connections that are not accepted are reported, each of them", async t => {
    const { server, ask, faults } = await start((_req, res) => void res.end("sound"));
    t.teardown(() => server.close());
    // As Node does if `accept` fails (EMFILE).
    [1, 2, 3].forEach(() => server.emit("error", fault));
    t.is(await ask("/"), "200 sound");
    t.deepEqual(faults, [["accept", fault], ["accept", fault], ["accept", fault]]);
});
