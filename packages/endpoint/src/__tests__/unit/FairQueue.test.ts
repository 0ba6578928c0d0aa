import { OrganisationId, RequestId } from "@azureshunt/core";
import test from "ava";
import fc from "fast-check";

import { emptyQueue } from "../../queue/emptyQueue.js";
import { enqueue } from "../../queue/enqueue.js";
import type { FairQueue } from "../../queue/FairQueue.js";
import type { QueueItem } from "../../queue/QueueItem.js";
import { refusalFor } from "../../queue/refusalFor.js";
import { removeWhere } from "../../queue/removeWhere.js";
import { takeNext } from "../../queue/takeNext.js";
import { workBefore } from "../../queue/workBefore.js";

const SEED = 20_261_202;
const item = (organisation: string, id: string, more: Partial<QueueItem> = {}): QueueItem => ({
    id: RequestId.parse(id),
    organisation: OrganisationId.parse(organisation),
    weight: 1,
    cost: 100,
    priority: 5,
    deadline: 10_000,
    arrivedAt: 0,
    ...more,
});
const queueOf = (items: readonly QueueItem[]) => items.reduce(enqueue, emptyQueue());
const many = (organisation: string, n: number, more: Partial<QueueItem> = {}) =>
    Array.from({ length: n }, (_, i) => item(organisation, `${organisation}${i}`, { arrivedAt: i, ...more }));
const drain = (queue: FairQueue, turns: number): QueueItem[] => {
    const { queue: rest, item: taken } = takeNext(queue, () => true);
    return turns === 0 || taken === undefined ? [] : [taken, ...drain(rest, turns - 1)];
};
const countOf = (taken: readonly QueueItem[], organisation: string) =>
    taken.filter(each => each.organisation === organisation).length;

[
    { name: "arrival", items: [item("a", "x", { arrivedAt: 2 }), item("a", "y", { arrivedAt: 1 })], first: "y" },
    { name: "deadline", items: [item("a", "x"), item("a", "y", { deadline: 5 })], first: "y" },
    { name: "priority", items: [item("a", "x", { deadline: 5 }), item("a", "y", { priority: 0 })], first: "y" },
].forEach(({ name, items, first }) =>
    test(`queue: ${name} decides the order within an organisation`, t => {
        t.is(drain(queueOf(items), 1)[0]?.id as string, first);
    })
);

test("queue: an organisation that floods the queue delays only itself", t => {
    // One organisation sends many times its rate, and requests of the others wait behind all of its work.
    const taken = drain(queueOf([...many("loud", 50), item("quiet", "q1", { arrivedAt: 99 })]), 3);
    t.true(taken.some(each => each.organisation === "quiet"));
});

test("queue: an idle organisation gets no credit for its idle time", t => {
    const busy = queueOf(many("a", 40));
    const after = Array.from({ length: 20 }).reduce<FairQueue>(queue => takeNext(queue, () => true).queue, busy);
    const taken = drain(many("b", 20).reduce(enqueue, after), 20);
    t.true(Math.abs(countOf(taken, "a") - countOf(taken, "b")) <= 1);
});

test("queue: work is shared by weight for any sizes of requests", t => {
    fc.assert(
        fc.property(
            fc.integer({ min: 1, max: 5 }),
            fc.array(fc.integer({ min: 1, max: 500 }), { minLength: 60, maxLength: 60 }),
            (weight, costs) => {
                const lane = (organisation: string, laneWeight: number) =>
                    costs.map((cost, i) => item(organisation, `${organisation}${i}`, { cost, weight: laneWeight }));
                const taken = drain(queueOf([...lane("a", weight), ...lane("b", 1)]), 40);
                const workOf = (organisation: string) =>
                    taken.filter(each => each.organisation === organisation).reduce((sum, each) => sum + each.cost, 0);
                t.true(Math.abs(workOf("a") / weight - workOf("b")) <= 500);
            },
        ),
        { seed: SEED, numRuns: 200 },
    );
});

test("queue: a request that cannot start does not block other lanes", t => {
    const queue = queueOf([item("a", "x"), item("b", "y")]);
    t.is(takeNext(queue, each => each.id !== "x").item?.id as string, "y");
    t.is(takeNext(queue, () => false).item, undefined);
});

test("queue: a request that cannot start does not block its own lane", t => {
    const queue = queueOf([item("a", "x"), item("a", "y", { arrivedAt: 1 })]);
    t.is(takeNext(queue, each => each.id !== "x").item?.id as string, "y");
});

test("queue: lanes without work are dropped", t => {
    const queue = queueOf([item("a", "x"), item("b", "y")]);
    const empty = [1, 2].reduce<FairQueue>(left => takeNext(left, () => true).queue, queue);
    t.is(empty.lanes.size, 0);
});

test("queue: removing the last request of a lane removes the lane", t => {
    const queue = removeWhere(queueOf([item("a", "x"), item("b", "y")]), each => each.id === "x");
    t.deepEqual([...queue.lanes.keys()] as string[], ["b"]);
});

[
    { name: "an empty queue", items: [], before: 0 },
    { name: "own earlier work", items: many("a", 3), before: 300 },
    { name: "own work of lower priority is ignored", items: many("a", 3, { priority: 9 }), before: 0 },
    { name: "work of others up to the own share", items: [...many("a", 2), ...many("b", 9)], before: 400 },
    {
        name: "all work of others if it is less than the own share",
        items: [...many("a", 2), ...many("b", 1)],
        before: 300,
    },
].forEach(({ name, items, before }) =>
    test(`queue: work before a request: ${name}`, t => {
        t.is(workBefore(queueOf(items), item("a", "new", { arrivedAt: 99 })), before);
    })
);

[
    { name: "in time", left: 100, queueWait: 50, endpointWait: 50, kind: undefined, retry: undefined },
    { name: "wait beyond the deadline", left: 100, queueWait: 5_000, endpointWait: 50, kind: "overloaded", retry: 5 },
    {
        name: "wait far beyond the deadline: Retry-After is capped",
        left: 100,
        queueWait: 1e9,
        endpointWait: 0,
        kind: "overloaded",
        retry: 60,
    },
    { name: "deadline passed", left: 0, queueWait: 0, endpointWait: 0, kind: "deadline-exceeded", retry: 1 },
].forEach(({ name, left, queueWait, endpointWait, kind, retry }) =>
    test(`refusal: ${name}`, t => {
        const refusal = refusalFor({ now: 1_000, deadline: 1_000 + left, queueWait, endpointWait });
        t.is(refusal?.kind, kind as typeof refusal extends undefined ? never : NonNullable<typeof refusal>["kind"]);
        t.is(refusal?.retryAfterSeconds, retry);
        t.is(refusal?.ran, refusal === undefined ? undefined : "no");
    })
);
