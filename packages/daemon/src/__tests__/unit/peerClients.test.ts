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
    /** Delay of each answer in milliseconds; `undefined` if the call is never answered. */
    readonly delays: readonly (number | undefined)[];
    /** Wait before each call, in milliseconds. */
    readonly pauses: readonly number[];
    /** Whether each call is answered in time. */
    readonly answered: readonly boolean[];
    /** Number of connections that the server accepted. */
    readonly connections: number;
};

// If one late answer of a busy daemon closed its channel, all further calls would need a new one and be late too.
const cases: readonly Case[] = [
    {
        name: "one late answer does not close the channel",
        delays: [0, 200, 0],
        pauses: [0, 0, 0],
        answered: [true, false, true],
        connections: 1,
    },
    {
        name: "a silent channel is closed and replaced",
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
