import { createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

import test from "ava";

import { createIdleLimits } from "../../dispatch/createIdleLimits.js";
import { EndpointAgent } from "../../dispatch/EndpointAgent.js";
import { openCall } from "../../dispatch/openCall.js";
import { readAnswer } from "../../dispatch/readAnswer.js";

// Guards against reuse close to an endpoint's own idle time, and against a single closing that is never refuted.
const cases: readonly {
    readonly name: string;
    readonly closedAfter: readonly number[];
    readonly isOutlasted?: boolean;
    readonly expected: readonly [repeatable: number, notRepeatable: number, outlast: number | undefined];
}[] = [
    { name: "nothing is known", closedAfter: [], expected: [Infinity, Infinity, undefined] },
    { name: "one closing", closedAfter: [100], expected: [80, 50, 200] },
    { name: "a later closing is noticed late", closedAfter: [100, 3_000], expected: [80, 50, 200] },
    { name: "a later closing comes sooner", closedAfter: [5_000, 100], expected: [80, 50, 200] },
    {
        name: "a connection outlasts it",
        closedAfter: [20],
        isOutlasted: true,
        expected: [Infinity, Infinity, undefined],
    },
];
cases.forEach(({ name, closedAfter, isOutlasted = false, expected }) => {
    test(`idle limits: ${name}`, t => {
        const limits = createIdleLimits();
        closedAfter.forEach(idleMs => limits.recordClosed("a:1", idleMs));
        if (isOutlasted) {
            limits.recordOutlasted("a:1");
        }
        t.deepEqual(
            [limits.maxReuseMs("a:1", true), limits.maxReuseMs("a:1", false), limits.outlastMs("a:1")],
            expected,
        );
    });
});

test("idle limits: the endpoints that were learned first are forgotten", t => {
    const limits = createIdleLimits();
    Array.from({ length: 2_000 }, (_, i) => limits.recordClosed(`a:${i}`, 100));
    t.is(limits.outlastMs("a:0"), undefined);
    t.is(limits.outlastMs("a:1999"), 200);
});

const CALLS = 60;

/** Starts an endpoint that closes connections after some idle time and does not say so. */
const startClosing = async (idleMs: number) => {
    const seen = { connections: 0 };
    const sockets = new Set<Socket>();
    const server = createServer(socket => {
        seen.connections += 1;
        sockets.add(socket);
        const state = { timer: undefined as NodeJS.Timeout | undefined };
        socket.on("error", () => undefined);
        socket.once("close", () => sockets.delete(socket));
        socket.on("data", () => {
            clearTimeout(state.timer);
            socket.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            state.timer = Number.isFinite(idleMs) ? setTimeout(() => socket.destroy(), idleMs) : undefined;
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const agent = new EndpointAgent(() => performance.now());
    const call = async (): Promise<string> => {
        const opened = await openCall(agent, {
            address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
            method: "POST",
            target: "/order",
            headers: ["Host", "engine", "Content-Length", "2", "Connection", "keep-alive"],
            body: Buffer.from("{}"),
            maxIdleMs: 250,
            headMs: 2_000,
        }, new AbortController().signal);
        if (opened.kind === "head") {
            await readAnswer(opened);
        }
        return opened.kind;
    };
    return {
        seen,
        call,
        close: (which: "all" | "the latest"): void =>
            [...sockets].slice(which === "all" ? 0 : -1).forEach(socket => socket.destroy()),
        stop: (): void => {
            agent.destroy();
            sockets.forEach(socket => socket.destroy());
            server.close();
        },
    };
};

const inSeries = (count: number, run: (i: number) => Promise<void>): Promise<void> =>
    Array.from({ length: count }, (_, i) => i).reduce(async (before, i) => {
        await before;
        await run(i);
    }, Promise.resolve());

// Guards against a call that may run once on a connection that its endpoint closes at that moment.
[100, 40].forEach(idleMs => {
    test.serial(`idle limits: no call is lost at an endpoint that closes connections idle for ${idleMs} ms`, async t => {
        const endpoint = await startClosing(idleMs);
        await endpoint.call();
        await sleep(idleMs * 2);
        const kinds: string[] = [];
        await inSeries(CALLS, async i => {
            await sleep(idleMs - 3 + i % 6);
            kinds.push(await endpoint.call());
        });
        t.deepEqual([...new Set(kinds)], ["head"]);
        endpoint.stop();
    });
});

// Guards against more connections to endpoints that close some for another reason than their idle time.
([["all", 3], ["the latest", 2]] as const).forEach(([which, most]) => {
    test.serial(`idle limits: an endpoint that closed ${which} of its connections gets no more than before`, async t => {
        const endpoint = await startClosing(Infinity);
        await endpoint.call();
        await Promise.all([endpoint.call(), endpoint.call()]);
        await sleep(100);
        await endpoint.call();
        await sleep(10);
        endpoint.close(which);
        await sleep(50);
        endpoint.seen.connections = 0;
        await inSeries(12, async () => {
            await endpoint.call();
            await sleep(60);
        });
        t.true(endpoint.seen.connections <= most, `${endpoint.seen.connections} connections`);
        endpoint.stop();
    });
});
