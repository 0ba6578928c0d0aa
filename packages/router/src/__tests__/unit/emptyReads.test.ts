import type { Millis } from "@azureshunt/core";
import test from "ava";
import { Right } from "purify-ts";

import type { StorePort } from "../../ports/StorePort.js";
import { followTopic } from "../../store/followTopic.js";

type Case = {
    readonly name: string;
    readonly waitMs: Millis;
    /** Time from the request to its answer. */
    readonly answeredMs: Millis;
    readonly hasRecord?: boolean;
    readonly asOf: Millis;
};

const REQUESTED_AT: Millis = 1_000;
const record = { offset: 1, key: "config", value: Buffer.from("1") };

const cases: readonly Case[] = [
    { name: "the store waited to the end", waitMs: 950, answeredMs: 950, asOf: 1_950 },
    { name: "the answer came late", waitMs: 950, answeredMs: 1_400, asOf: 1_950 },
    { name: "the store did not wait", waitMs: 950, answeredMs: 949, asOf: 1_000 },
    { name: "the read was not to wait", waitMs: 0, answeredMs: 200, asOf: 1_000 },
    { name: "a record arrived", waitMs: 950, answeredMs: 600, hasRecord: true, asOf: 1_000 },
    { name: "a record arrived at the end", waitMs: 950, answeredMs: 960, hasRecord: true, asOf: 1_000 },
];

// A read that waited counts as current for longer than the store has shown, and a withdrawn key works.
cases.forEach(({ name, waitMs, answeredMs, hasRecord = false, asOf }) => {
    test(`empty reads: as of when the records are current: ${name}`, async t => {
        const time = { now: REQUESTED_AT };
        const store = {
            newest: () => Promise.resolve(Right({ records: [], end: 1 })),
            read: () => {
                time.now += answeredMs;
                return Promise.resolve(Right(hasRecord ? { records: [record], end: 2 } : { records: [], end: 1 }));
            },
        } as unknown as StorePort;
        const seen = await new Promise<Millis | undefined>(resolve => {
            const reads: (Millis | undefined)[] = [];
            const followed = followTopic({
                storeFor: () => store,
                clock: { now: () => time.now, epoch: () => time.now },
                topic: "topic",
                catchUp: "newest",
                waitMs: () => waitMs,
                dueInMs: () => 0,
                reasonOfRead: () => "reader",
                queryRelay: () => Promise.resolve(undefined),
                mustWaitForRelay: () => false,
                onRestart: () => undefined,
                onFailure: () => undefined,
                onRead: read => {
                    reads.push(read.asOf);
                    if (reads.length === 2) {
                        followed.stop();
                        resolve(read.asOf);
                    }
                },
            });
        });
        t.is(seen, asOf);
    });
});
