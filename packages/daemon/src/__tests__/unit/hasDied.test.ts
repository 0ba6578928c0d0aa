import { createServer } from "node:http";
import type { AddressInfo } from "node:net";

import type { Incarnation } from "@azureshunt/core";
import test from "ava";

import { hasDied } from "../../suspects/hasDied.js";

const RUN = "run-1" as Incarnation;

type Case = {
    readonly name: string;
    /** Connections that the dying process accepts and resets before it is gone. */
    readonly resets: number;
    /** Incarnation that a process at the address then answers with; undefined if none listens there any more. */
    readonly answers: Incarnation | undefined;
    readonly hasDied: boolean;
};

// If a dying engine that still accepts connections counts as alive, the request is retried and crashes a third engine.
const cases: readonly Case[] = [
    { name: "nothing listens any more", resets: 0, answers: undefined, hasDied: true },
    { name: "it resets connections, then nothing listens", resets: 2, answers: undefined, hasDied: true },
    { name: "it resets connections, then answers as the same incarnation", resets: 2, answers: RUN, hasDied: false },
    { name: "it answers as another incarnation", resets: 0, answers: "run-2" as Incarnation, hasDied: true },
    { name: "it answers as the same incarnation", resets: 0, answers: RUN, hasDied: false },
];

cases.forEach(({ name, resets, answers, hasDied: expected }) => {
    test(`hasDied: ${name}`, async t => {
        const state = { left: resets };
        const server = createServer((_req, res) => res.end(JSON.stringify({ incarnation: answers })));
        const closeIfDead = (): void => {
            if (state.left === 0 && answers === undefined) {
                server.close();
            }
        };
        server.on("connection", socket => {
            if (state.left > 0) {
                state.left -= 1;
                socket.resetAndDestroy();
                closeIfDead();
            }
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const { port } = server.address() as AddressInfo;
        closeIfDead();
        t.is(await hasDied(`http://127.0.0.1:${port}`, RUN), expected);
        server.close();
        server.closeAllConnections();
    });
});

// If one probe without an answer, by a dying engine or on a busy VM, counted as alive, the request would run on a third
// engine.
[
    { name: "it does not answer in time, then nothing listens", answers: undefined, expected: true },
    { name: "it does not answer in time, then answers as the same incarnation", answers: RUN, expected: false },
].forEach(({ name, answers, expected }) => {
    test(`hasDied: ${name}`, async t => {
        const state = { probes: 0 };
        const server = createServer((_req, res) => {
            state.probes += 1;
            if (state.probes > 1) {
                res.end(JSON.stringify({ incarnation: answers }));
            }
            else if (answers === undefined) {
                server.close();
            }
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const { port } = server.address() as AddressInfo;
        const bounds = { answerMs: 100, againMs: 5, allMs: 5_000 };
        t.is(await hasDied(`http://127.0.0.1:${port}`, RUN, bounds), expected);
        server.close();
        server.closeAllConnections();
    });
});
