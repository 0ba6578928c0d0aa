import { createClock } from "@azureshunt/core";
import { createMetrics } from "@azureshunt/telemetry";
import test from "ava";
import { Left, Right } from "purify-ts";

import type { StoreFailure } from "../../ports/StoreFailure.js";
import type { StorePort } from "../../ports/StorePort.js";
import { countStoreCalls } from "../../store/countStoreCalls.js";
import { followTopic } from "../../store/followTopic.js";
import type { StoreCallReason } from "../../store/StoreCallReason.js";

// Operators see that the store gets many calls, but not which VMs make them or why.

const PAGE = { records: [], end: 1 };
const lost: StoreFailure = { kind: "lost" };
const expired: StoreFailure = { kind: "expired", first: 1 };

type Case = {
    readonly name: string;
    /** Answers of the store in turn; the topic is not read any more after the last. */
    readonly answers: readonly (typeof PAGE | StoreFailure)[];
    readonly reasons: readonly StoreCallReason[];
};

const cases: readonly Case[] = [
    {
        name: "the first read, then those that are due",
        answers: [PAGE, PAGE, PAGE],
        reasons: ["first", "reader", "reader"],
    },
    { name: "the first read failed", answers: [lost, PAGE, PAGE], reasons: ["first", "retry", "reader"] },
    { name: "a later read failed", answers: [PAGE, lost, PAGE, PAGE], reasons: ["first", "reader", "retry", "reader"] },
    { name: "records are not kept any more", answers: [PAGE, expired, PAGE], reasons: ["first", "reader", "first"] },
];
cases.forEach(({ name, answers, reasons }) => {
    test(`store calls of a topic that is followed: ${name}`, async t => {
        const called: StoreCallReason[] = [];
        await new Promise<void>(resolve => {
            const answerNext = (reason: StoreCallReason) => {
                const answer = answers[called.length];
                if (answer === undefined) {
                    followed.stop();
                    resolve();
                    return new Promise<never>(() => undefined);
                }
                called.push(reason);
                return Promise.resolve("kind" in answer ? Left(answer) : Right(answer));
            };
            const followed = followTopic({
                storeFor: reason =>
                    ({ newest: () => answerNext(reason), read: () => answerNext(reason) }) as unknown as StorePort,
                clock: createClock(),
                topic: "topic",
                waitMs: () => 0,
                catchUp: "all",
                dueInMs: () => 0,
                reasonOfRead: () => "reader",
                queryRelay: () => Promise.resolve(undefined),
                mustWaitForRelay: () => false,
                onRead: () => undefined,
                onRestart: () => undefined,
                onFailure: () => undefined,
            });
        });
        t.deepEqual(called, [...reasons]);
    });
});

test("store calls: reads and writes are counted by topic and reason", async t => {
    const metrics = createMetrics();
    const answer = () => Promise.resolve(Right(PAGE));
    const store = { newest: answer, read: answer, appendAt: answer, put: answer } as unknown as StorePort;
    const counted = countStoreCalls({ store, metrics, topic: "vms", reads: "recorded", writes: "record" });
    await Promise.all([
        counted.newest("t"),
        counted.read("t", 0, 0),
        counted.put("t", "k", Buffer.alloc(0)),
        counted.appendAt("t", 1, Buffer.alloc(0)),
    ]);
    const text = metrics.render();
    t.true(text.includes("azureshunt_store_calls_total{topic=\"vms\",reason=\"recorded\"} 2"), text);
    t.true(text.includes("azureshunt_store_calls_total{topic=\"vms\",reason=\"record\"} 2"), text);
});
