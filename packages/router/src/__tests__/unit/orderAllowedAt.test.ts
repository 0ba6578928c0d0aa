import type { EndpointName } from "@azureshunt/core";
import test from "ava";

import { orderAllowedAt } from "../../fleet/orderAllowedAt.js";
import { orderTiming } from "../../fleet/orderTiming.js";

// A late order is accepted after a newer one, as the engine's count began anew and reached what it expects.

type View = Parameters<typeof orderAllowedAt>[0];

const { maxTransitMs } = orderTiming;
const NOW = 100_000;
const engine = "e" as EndpointName;
/** An engine and an issuer that have been there for long. */
const settled: View = {
    bornAt: 9,
    ordersTaken: 0,
    restartedAt: -Infinity,
    unanswered: [],
    ordersKnownSince: -Infinity,
};
const unanswered = (ordersTaken: number | undefined, bornAt = 1): View["unanswered"] => [
    { endpoint: engine, bornAt, ordersTaken, sentAt: NOW },
];

type Case = { readonly name: string; readonly view: Partial<View>; readonly allowedAt: number; };

const cases: readonly Case[] = [
    { name: "is ordered at once if no order may still be carried out", view: {}, allowedAt: -Infinity },
    {
        name: "is ordered at once if the order would make an unanswered one void",
        view: { ordersTaken: 2, unanswered: unanswered(2) },
        allowedAt: -Infinity,
    },
    {
        name: "is ordered at once if an unanswered order expects a count that is two orders away",
        view: { ordersTaken: 0, unanswered: unanswered(2) },
        allowedAt: -Infinity,
    },
    {
        name: "waits if the order would bring it to the count that an unanswered one expects",
        view: { ordersTaken: 1, unanswered: unanswered(2) },
        allowedAt: NOW + maxTransitMs,
    },
    {
        name: "waits for the last of several unanswered orders",
        view: {
            ordersTaken: 1,
            unanswered: [...unanswered(2), { endpoint: engine, bornAt: 1, ordersTaken: 2, sentAt: NOW + 50 }],
        },
        allowedAt: NOW + 50 + maxTransitMs,
    },
    {
        name: "waits if an earlier issuer may have ordered an earlier start of it on any count",
        view: { unanswered: unanswered(undefined, 1) },
        allowedAt: NOW + maxTransitMs,
    },
    {
        name: "is ordered at once if an earlier issuer may have ordered it since its start",
        view: { unanswered: unanswered(undefined, 9) },
        allowedAt: -Infinity,
    },
    {
        name: "waits for the orders of an earlier issuer if it was seen to start again since they were sent",
        view: { restartedAt: NOW - maxTransitMs + 1, ordersKnownSince: NOW },
        allowedAt: NOW + maxTransitMs,
    },
    {
        name: "does not wait for the orders of an earlier issuer if it started again before them",
        view: { restartedAt: NOW - maxTransitMs, ordersKnownSince: NOW },
        allowedAt: -Infinity,
    },
];

cases.forEach(({ name, view, allowedAt }) => {
    test(`orders: an engine ${name}`, t => {
        t.is(orderAllowedAt({ ...settled, ...view }), allowedAt);
    });
});
