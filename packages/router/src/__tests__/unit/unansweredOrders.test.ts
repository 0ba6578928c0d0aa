import type { EndpointName, Millis } from "@azureshunt/core";
import test from "ava";

import { createUnansweredOrders } from "../../fleet/createUnansweredOrders.js";
import type { LeaseStatement } from "../../fleet/LeaseStatement.js";
import { leaseTiming } from "../../fleet/leaseTiming.js";
import { orderTiming } from "../../fleet/orderTiming.js";

// A process that takes the order lease over forgets orders of the last holder, or waits for them longer than needed.

type Stated = Pick<LeaseStatement, "orderable" | "unanswered">;

const NOW = 100_000;
const { holdMs } = leaseTiming;
const { maxTransitMs } = orderTiming;
const start = { endpoint: "e" as EndpointName, bornAt: 7 };
const orderable: Stated = { orderable: [start], unanswered: [] };
const unansweredOf = (ageMs: Millis): Stated => ({
    orderable: [],
    unanswered: [{ ...start, ordersTaken: 3, ageMs }],
});

const cases: readonly {
    readonly name: string;
    /** Records, and the latest times at which they can have been written. */
    readonly inherited: readonly (readonly [orders: Stated, writtenBefore: Millis])[];
    readonly sentAt: readonly Millis[];
}[] = [
    {
        name: "what the last holder might order, until its claim ran out",
        inherited: [[orderable, NOW - 5_000]],
        sentAt: [
            NOW - 5_000 + holdMs,
        ],
    },
    { name: "what an ended process might order, until now", inherited: [[orderable, NOW]], sentAt: [NOW] },
    { name: "an unanswered order, since it was sent", inherited: [[unansweredOf(700), NOW - 50]], sentAt: [NOW - 750] },
    {
        name: "the same record twice, once",
        inherited: [[unansweredOf(700), NOW], [unansweredOf(700), NOW]],
        sentAt: [NOW - 700],
    },
    {
        name: "one order of several records, since the latest possible time",
        inherited: [[unansweredOf(100), NOW], [unansweredOf(700), NOW]],
        sentAt: [NOW - 100],
    },
    { name: "not what can no longer be carried out", inherited: [[unansweredOf(maxTransitMs), NOW - 1]], sentAt: [] },
];

cases.forEach(({ name, inherited, sentAt }) => {
    test(`unanswered orders: an issuer takes over ${name}`, t => {
        const orders = createUnansweredOrders({ now: () => NOW, epoch: () => NOW });
        inherited.forEach(([record, writtenBefore]) => orders.inherit(record, writtenBefore));
        t.deepEqual(orders.to(start.endpoint).map(order => order.sentAt), sentAt);
        t.deepEqual(orders.all().map(({ ageMs }) => NOW - ageMs), sentAt);
    });
});

test("unanswered orders: an own order is stated until it is answered or can no longer be carried out", t => {
    const time = { now: NOW };
    const orders = createUnansweredOrders({ now: () => time.now, epoch: () => time.now });
    const [first, second] = [1, 2].map(ordersTaken => orders.add({ ...start, ordersTaken }));
    time.now += 40;
    t.deepEqual(orders.all().map(({ ordersTaken, ageMs }) => [ordersTaken, ageMs]), [[1, 40], [2, 40]]);
    first?.();
    t.deepEqual(orders.all().map(({ ordersTaken }) => ordersTaken), [2]);
    time.now += maxTransitMs;
    t.deepEqual(orders.all(), []);
    second?.();
});
