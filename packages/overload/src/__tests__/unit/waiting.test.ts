import type { OrganisationId } from "@azureshunt/core";
import test from "ava";

import { initialQueue } from "../../initialQueue.js";
import { queueDueAt } from "../../queueDueAt.js";
import { stepQueue } from "../../stepQueue.js";
import type { WaitEvent } from "../../WaitEvent.js";
import type { WaitId } from "../../WaitId.js";
import type { WaitRequest } from "../../WaitRequest.js";

const A = "a" as OrganisationId;
const B = "b" as OrganisationId;

/** A request that may wait for 700 ms from its arrival. */
const request = (id: number, fields: Partial<WaitRequest> = {}): WaitRequest => ({
    id: id as WaitId,
    priority: 0,
    organisation: A,
    arrivedAt: 0,
    objectiveMs: 800,
    deadline: 15_000,
    ownMs: 100,
    delayMs: 300,
    earlier: undefined,
    ...fields,
});
const arrived = (id: number, fields: Partial<WaitRequest> = {}): WaitEvent => ({
    kind: "arrived",
    request: request(id, fields),
});
const sent = (organisation: OrganisationId): WaitEvent => ({ kind: "sent", organisation });
const ended = (places: number): WaitEvent => ({ kind: "ended", organisation: A, places });
const known = (places: number): WaitEvent => ({ kind: "load-known", places });
const due: WaitEvent = { kind: "due", places: 1 };
const many = (count: number, event: (i: number) => WaitEvent, at = 0): readonly (readonly [number, WaitEvent])[] =>
    Array.from({ length: count }, (_, i) => [at, event(i)] as const);

type Case = {
    readonly guards: string;
    readonly events: readonly (readonly [at: number, event: WaitEvent])[];
    readonly sent?: readonly number[];
    readonly refused?: readonly number[];
    /** When the queue changes by time alone, after the last event. */
    readonly dueAt?: number;
};

const cases: readonly Case[] = [
    { guards: "a timer in a VM where nothing waits", events: [[0, sent(A)], [50, ended(9)], [60, known(9)]] },
    { guards: "a wait that ends after the objective", events: [[0, arrived(1, { delayMs: 700 })]], refused: [1] },
    { guards: "a wait of over a third of the time left", events: [[0, arrived(1, { deadline: 900 })]], refused: [1] },
    {
        guards: "a less urgent request that goes first",
        events: [[0, arrived(1, { priority: 2 })], [0, arrived(2)], [30, known(1)]],
        sent: [2],
        dueAt: 300,
    },
    {
        guards: "an organisation that holds more places and goes first",
        events: [[0, sent(A)], [0, arrived(1)], [0, arrived(2, { organisation: B, objectiveMs: 900 })], [30, known(1)]],
        sent: [2],
        dueAt: 300,
    },
    {
        guards: "one event that gives all places to one organisation, or more than this VM's share",
        events: [[0, arrived(1)], [0, arrived(2)], [0, arrived(3, { organisation: B, ownMs: 50 })], [30, known(2.7)]],
        sent: [1, 3],
        dueAt: 300,
    },
    {
        guards: "a request with more slack that goes first",
        events: [[0, arrived(1)], [0, arrived(2, { ownMs: 200 })], [30, known(1)]],
        sent: [2],
        dueAt: 300,
    },
    {
        guards: "a less urgent request that starves beside a steady load of the next kind",
        events: [[0, arrived(1, { priority: 1 })], [340, arrived(2, { arrivedAt: 340 })], [370, known(1)]],
        sent: [1],
        dueAt: 640,
    },
    {
        guards: "a queue that is longer than what the VM sends, and drops an urgent request",
        events: [...many(4, i => arrived(i, { priority: 1 })), [0, arrived(4)]],
        refused: [3],
        dueAt: 300,
    },
    {
        guards: "a queue of a busy VM that is as short as that of an idle one",
        events: [...many(6, () => sent(A)), ...many(7, i => arrived(i))],
        refused: [6],
        dueAt: 300,
    },
    {
        guards: "requests sent more than a second ago that lengthen the queue",
        events: [...many(9, () => sent(A)), ...many(5, i => arrived(i, { arrivedAt: 1_000 }), 1_000)],
        refused: [4],
        dueAt: 1_300,
    },
    { guards: "an event that releases nothing", events: [[0, arrived(1)], [30, ended(0)]], sent: [1] },
    {
        guards: "a request that is placed at each of many beacons",
        events: [[0, arrived(1)], [10, known(1)], [20, known(1)]],
        dueAt: 300,
    },
    { guards: "a wait for late beacons beyond the predicted delay", events: [[0, arrived(1)], [300, due]], sent: [1] },
    {
        guards: "a tiny delay that makes the queue poll",
        events: [[0, arrived(1, { delayMs: 0.1 })], [1, due]],
        dueAt: 25,
    },
    {
        guards: "a request that is kept though its response can no longer be in time",
        events: [[0, arrived(1)], [0, arrived(2, { objectiveMs: 2_000 })], [700, ended(1)]],
        sent: [2],
        refused: [1],
    },
    {
        guards: "a request that gets a new third of its time with each placement",
        events: [[290, arrived(1, { earlier: { since: 0, leaveAt: 400 } })]],
        refused: [1],
    },
    {
        guards: "a VM that shuts down and holds requests",
        events: [[0, arrived(1)], [10, { kind: "closed" }], [20, arrived(2)]],
        refused: [1, 2],
    },
];

cases.forEach(({ guards, events, sent: expectedSent = [], refused = [], dueAt }) => {
    test(`stepQueue: guards against ${guards}`, t => {
        const start = { queue: initialQueue, sent: [] as readonly number[], refused: [] as readonly number[] };
        const end = events.reduce((before, [at, event]) => {
            const step = stepQueue(before.queue, event, at);
            return {
                queue: step.queue,
                sent: [...before.sent, ...step.sent],
                refused: [...before.refused, ...step.refused],
            };
        }, start);
        t.deepEqual({ sent: end.sent, refused: end.refused }, { sent: expectedSent, refused });
        // Each request has left the queue once, or waits.
        const arrivals = events.flatMap(([, event]) => event.kind === "arrived" ? [event.request.id as number] : []);
        const waiting = end.queue.waiting.map(({ id }) => id as number);
        t.deepEqual([...waiting, ...end.sent, ...end.refused].toSorted(), arrivals.toSorted());
        t.is(queueDueAt(end.queue, events.at(-1)?.[0] ?? 0), dueAt);
    });
});

test("stepQueue: guards against a request whose caller has left and that is sent", t => {
    const { queue } = stepQueue(initialQueue, arrived(1), 0);
    const left = stepQueue(queue, { kind: "cancelled", id: 1 as WaitId }, 10);
    t.deepEqual(stepQueue(left.queue, known(1), 30), { queue: initialQueue, sent: [], refused: [] });
});
