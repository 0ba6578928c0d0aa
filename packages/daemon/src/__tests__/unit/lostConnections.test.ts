import { createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";

import { refusalOf } from "@azureshunt/core";
import { createMetrics } from "@azureshunt/telemetry";
import test from "ava";
import { Left, Right } from "purify-ts";

import { createEndpointConnections } from "../../dispatch/createEndpointConnections.js";
import type { DispatchParts } from "../../dispatch/DispatchParts.js";
import { dispatchService } from "../../dispatch/dispatchService.js";
import type { Call } from "../../ports/Call.js";
import type { ServiceCall } from "../../ports/ServiceCall.js";
import { fakeContext } from "../fakes/fakeContext.js";

const DISPATCH = "dispatch-1";
const TIMEOUT_MS = 400;
const MAX_TRIES = 2;
const ANSWER = `HTTP/1.1 200 OK\r\nX-Dispatch-Id: ${DISPATCH}\r\nContent-Length: 5\r\n\r\nwhole`;

/** Starts a replica whose connections that are open can lose all that is sent. */
const startReplica = async () => {
    const open = new Set<Socket>();
    const lost = new Set<Socket>();
    const server = createServer(socket => {
        open.add(socket);
        socket.on("error", () => undefined);
        socket.on("data", () => void (lost.has(socket) || socket.write(ANSWER)));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return {
        url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
        loseOpen: () => open.forEach(socket => lost.add(socket)),
        stop: () => {
            server.close();
            open.forEach(socket => socket.destroy());
        },
    };
};

// Guards against a retry on a connection that was lost like the one of its first try.
test("lost connections: a call that may be repeated is answered if the open ones of all replicas are lost", async t => {
    const replicas = await Promise.all([startReplica(), startReplica()]);
    const connections = createEndpointConnections();
    t.teardown(async () => {
        await connections.stop();
        replicas.forEach(({ stop }) => stop());
    });
    const placed = { count: 0 };
    const parts = {
        ctx: { ...fakeContext().ctx, metrics: createMetrics() },
        placement: {
            place: () => {
                const replica = replicas[placed.count % replicas.length];
                placed.count += 1;
                return Promise.resolve(
                    Right({ dispatchId: DISPATCH, endpoint: "service", url: replica?.url, end: () => undefined }),
                );
            },
        },
        suspects: { check: (call: Call) => Right(call) },
        connections,
        tries: {
            onArrival: () => ({ repeatable: true, deadline: Infinity, tries: 0, next: 0, ran: "no" }),
            afterFailure: (state: { readonly tries: number; }) =>
                state.tries < MAX_TRIES ? Right(state) : Left(refusalOf("endpoint-failed")),
        },
        trace: { add: () => undefined },
        recheck: (call: Call) => Right(call),
    } as unknown as DispatchParts;
    const target = { kind: "service", method: "POST", path: "/", repeatable: true, body: Buffer.from("b") };
    const call = { id: "request", target, signal: new AbortController().signal };
    const dispatch = async (): Promise<boolean> =>
        (await dispatchService(
            parts,
            call as unknown as Call,
            target as unknown as ServiceCall,
            TIMEOUT_MS,
            { begin: () => true, notRun: () => undefined },
        )).isRight();
    t.deepEqual([await dispatch(), await dispatch()], [true, true]);
    replicas.forEach(({ loseOpen }) => loseOpen());
    t.true(await dispatch());
    t.is(placed.count, 2 + MAX_TRIES);
});
