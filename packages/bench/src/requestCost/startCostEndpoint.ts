import { createServer } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";

import type { CostKind } from "./CostKind.js";
import { costShape } from "./costShape.js";

type CostEndpoint = {
    /** `host:port`. */
    readonly address: string;
    /** Its entry in the registry. */
    readonly entry: () => unknown;
    readonly stop: () => void;
};

const OK = 200;
const HEALTHY = new Set(["/report", "/healthz"]);
const ANSWER = JSON.stringify({ answer: "x".repeat(costShape.requestBytes) });

const writeEvents = (res: ServerResponse): void => {
    const sent = { events: 0 };
    const send = (): void => {
        res.write(`id: ${sent.events}\ndata: {"text":"piece ${sent.events} of the answer"}\n\n`);
        sent.events += 1;
        if (sent.events === costShape.events) {
            clearInterval(timer);
            res.end();
        }
    };
    const timer = setInterval(send, costShape.eventGapMs);
    res.once("close", () => clearInterval(timer));
    send();
};

/** Starts an endpoint on a free port of the loopback interface: an engine if it answers by streams. */
export async function startCostEndpoint(kind: CostKind): Promise<CostEndpoint> {
    const models = kind === "stream" ? [{ Name: costShape.model, Version: 1, Adapters: [] }] : [];
    const serve = (req: IncomingMessage, res: ServerResponse): void => {
        if (HEALTHY.has(req.url ?? "")) {
            const loads = { Waiting: 0, Running: 0, KvUsed: 0, KvTotal: 1, Handles: 0 };
            res.writeHead(OK, { "content-type": "application/json" });
            res.end(JSON.stringify({ Stage: "unified", Models: models, Busy: false, Sequence: 7, born: 1, ...loads }));
            return;
        }
        req.resume();
        req.once("end", () => {
            const headers = {
                "x-azureshunt-request-id": String(req.headers["x-azureshunt-request-id"]),
                "x-azureshunt-response-seal": "seal",
            };
            if (kind === "plain") {
                res.writeHead(OK, { "content-type": "application/json", "content-length": ANSWER.length, ...headers });
                res.end(ANSWER);
                return;
            }
            res.writeHead(OK, {
                "content-type": "text/event-stream",
                "x-azureshunt-weight-versions": "1",
                ...headers,
            });
            writeEvents(res);
        });
    };
    const server = createServer({ noDelay: true, keepAliveTimeout: 60_000 }, serve);
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    return {
        address,
        entry: () => ({
            Service: kind === "stream" ? "lm" : "desk",
            Address: address,
            Zone: "z",
            Version: "v1",
            Slots: 64,
            State: "ready",
            ColdLeftMs: 0,
            Models: models,
            Sequence: 7,
            born: 1,
        }),
        stop: () => {
            server.close();
            server.closeAllConnections();
        },
    };
}
