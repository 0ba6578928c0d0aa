import { setTimeout as sleep } from "node:timers/promises";

import { credentials, Server, ServerCredentials } from "@grpc/grpc-js";
import type { handleUnaryCall } from "@grpc/grpc-js";
import test from "ava";

import { createPeerClients } from "../../peers/createPeerClients.js";

const PATH = "/test/Exchange";
const SHORT_MS = 100;
const LONG_MS = 5_000;
const identity = (bytes: Buffer): Buffer => bytes;

type Case = {
    readonly name: string;
    /** How late each answer is; a call without one is never answered. */
    readonly delays: readonly (number | undefined)[];
    /** Time before each call. */
    readonly pauses: readonly number[];
    /** The calls that are answered in time. */
    readonly answered: readonly boolean[];
    /** Connections that the daemon has seen. */
    readonly connections: number;
};

// A busy daemon answers one call late, its channel is closed, and each further call waits for a new connection, late again.
const cases: readonly Case[] = [
    {
        name: "one late answer closes nothing",
        delays: [0, 200, 0],
        pauses: [0, 0, 0],
        answered: [true, false, true],
        connections: 1,
    },
    {
        name: "a silent channel is given up",
        delays: [0, undefined, 0],
        pauses: [0, 1_000, 0],
        answered: [true, false, true],
        connections: 2,
    },
];

cases.forEach(({ name, delays, pauses, answered, connections }) =>
    test(`peer channels: ${name}`, async t => {
        const left = [...delays];
        const seen = new Set<string>();
        const server = new Server();
        const exchange: handleUnaryCall<Buffer, Buffer> = (call, done) => {
            seen.add(call.getPeer());
            const delay = left.shift();
            if (delay !== undefined) {
                void sleep(delay).then(() => done(null, call.request));
            }
        };
        const method = {
            path: PATH,
            requestStream: false,
            responseStream: false,
            requestSerialize: identity,
            requestDeserialize: identity,
            responseSerialize: identity,
            responseDeserialize: identity,
        } as const;
        server.addService({ exchange: method }, { exchange });
        const port = await new Promise<number>((resolve, reject) =>
            server.bindAsync("127.0.0.1:0", ServerCredentials.createInsecure(), (err, bound) =>
                err === null ? resolve(bound) : reject(err))
        );
        const clients = createPeerClients(PATH, credentials.createInsecure());
        t.teardown(() => {
            clients.close();
            server.forceShutdown();
        });
        const call = async (pause: number, i: number): Promise<boolean> => {
            await sleep(pause);
            const timeoutMs = answered[i] === true ? LONG_MS : SHORT_MS;
            return (await clients.send(`127.0.0.1:${port}`, Buffer.from("x"), "", timeoutMs)).isRight();
        };
        const results = await pauses.reduce<Promise<readonly boolean[]>>(
            async (before, pause, i) => [...await before, await call(pause, i)],
            Promise.resolve([]),
        );
        t.deepEqual(results, answered);
        t.is(seen.size, connections);
    })
);
