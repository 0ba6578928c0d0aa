import { createServer } from "node:http";
import { connect } from "node:net";
import type { AddressInfo, Socket } from "node:net";

import test from "ava";

import { EndpointAgent } from "../../dispatch/EndpointAgent.js";
import { openCall } from "../../dispatch/openCall.js";
import { holdPlace } from "../../serve/holdPlace.js";

type HoldParts = Parameters<typeof holdPlace>;

const IDLE_MS = 500;
const call = { method: "POST", target: "/hold-take", headers: ["Host", "x"], body: Buffer.alloc(0) };
const pause = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

const cases = [
    { name: "over a peer that takes 180 ms to open a connection", openMs: 180, hasLost: false, isKept: true },
    { name: "beside a connection that was lost without a sign", openMs: 0, hasLost: true, isKept: true },
    { name: "unless no connection opens in time", openMs: 1_000, hasLost: false, isKept: false },
] as const;

// Guards against a stream being cut off although an engine would take it, as its VM has lost its links or connections.
cases.forEach(({ name, openMs, hasLost, isKept }) => {
    test(`hold place: an engine keeps a place ${name}`, async t => {
        const lost = new Set<Socket>();
        const server = createServer((req, res) => {
            if (!lost.has(req.socket)) {
                res.end("id");
            }
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const { port } = server.address() as AddressInfo;
        const address = `127.0.0.1:${port}`;
        const agent = new EndpointAgent(() => performance.now(), {
            openConnection: async () => {
                await pause(openMs);
                return { kind: "new", socket: connect({ host: "127.0.0.1", port }) };
            },
        });
        t.teardown(() => {
            agent.destroy();
            server.closeAllConnections();
            server.close();
        });
        if (hasLost) {
            server.once("connection", socket => lost.add(socket));
            const { signal } = new AbortController();
            const opening = openCall(agent, { ...call, address, maxIdleMs: IDLE_MS, headMs: IDLE_MS }, signal);
            server.once("request", (_req, res) => res.end("id"));
            const opened = await opening;
            if (opened.kind === "head") {
                opened.res.resume();
            }
            await pause(IDLE_MS);
        }
        const parts = {
            agent,
            declaredState: () => ({ configuration: { services: new Map([["lm", { engine: { holdMs: 2_000 } }]]) } }),
            endpointWire: {
                encodeHold: () => call,
                encodeHoldRelease: () => call,
                decodeHold: (body: Buffer) => body.toString(),
            },
            metrics: { count: () => undefined },
        } as unknown as HoldParts[0];
        const served = { service: "lm", notes: { add: () => undefined } } as unknown as HoldParts[1];
        const place = { entry: { name: "e1", address }, memoryTokens: 10 } as unknown as HoldParts[2];
        t.is((await holdPlace(parts, served, place))?.id, isKept ? "id" as never : undefined);
    });
});
