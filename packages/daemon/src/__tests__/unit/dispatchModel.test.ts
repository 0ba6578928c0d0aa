import { createServer } from "node:http";
import type { AddressInfo } from "node:net";

import { createMetrics } from "@azureshunt/telemetry";
import test from "ava";
import { Right } from "purify-ts";
import { Agent } from "undici";

import { dispatchModel } from "../../dispatch/dispatchModel.js";
import type { DispatchParts } from "../../dispatch/DispatchParts.js";
import type { ModelAnswer } from "../../dispatch/ModelAnswer.js";
import type { Call } from "../../ports/Call.js";
import type { ModelCall } from "../../ports/ModelCall.js";
import type { Placement } from "../../ports/Placement.js";
import { fakeContext } from "../fakes/fakeContext.js";

const DISPATCH = "dispatch-1";
const TOKENS = 3;

const pieceAt = (position: number): string =>
    `data: ${
        JSON.stringify({
            id: DISPATCH,
            position,
            choices: [{ text: "x", finish_reason: position === TOKENS - 1 ? "stop" : null }],
        })
    }\n\n`;

// Without the report, the placement never measures how fast engines are, and its estimates of the time to first token stay
// guesses.
test("dispatch: the chooser is told of an answer's first token, once", async t => {
    const server = createServer((_req, res) => {
        res.writeHead(200, { "x-dispatch-id": DISPATCH });
        res.end(Array.from({ length: TOKENS }, (_, position) => pieceAt(position)).join(""));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    const dispatcher = new Agent();
    t.teardown(async () => {
        await dispatcher.destroy();
        server.close();
    });
    const reported: string[] = [];
    const placement = {
        dispatchId: DISPATCH,
        endpoint: "engine",
        url: `http://127.0.0.1:${port}`,
        estimate: 0,
        started: () => reported.push("started"),
        firstToken: () => reported.push("first token"),
        end: (outcome: string) => reported.push(outcome),
    } as unknown as Placement;
    const { ctx } = fakeContext();
    const parts = {
        ctx: { ...ctx, metrics: createMetrics() },
        placement: { place: () => Promise.resolve(Right(placement)) },
        suspects: {
            check: (call: Call) => Right(call),
            admit: () => Promise.resolve("admitted"),
            running: () => ({ answering: () => undefined, end: () => Promise.resolve() }),
        },
        connections: { pooled: () => dispatcher },
        tries: { onArrival: () => ({ repeatable: true, deadline: Infinity, tries: 0, next: 0, ran: "no" }) },
        trace: { add: () => undefined },
        recheck: (call: Call) => Right(call),
    } as unknown as DispatchParts;
    const target = { kind: "model", path: "/v1/completions", body: {}, promptTokens: 1 } as unknown as ModelCall;
    const call = { id: "request", deadline: Infinity, target, signal: new AbortController().signal } as unknown as Call;
    const answer = { write: () => Promise.resolve(), complete: () => undefined } as unknown as ModelAnswer;
    const used = await dispatchModel(parts, call, target, answer);
    t.is(used.extract(), 1 + TOKENS);
    t.deepEqual(reported, ["started", "first token", "complete"]);
});
