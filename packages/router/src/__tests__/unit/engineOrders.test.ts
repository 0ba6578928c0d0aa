import { createServer } from "node:http";
import type { AddressInfo } from "node:net";

import type { ModelName } from "@azureshunt/core";
import test from "ava";

import { callOnce } from "../../dispatch/callOnce.js";
import type { CallResult } from "../../dispatch/CallResult.js";
import { EndpointAgent } from "../../dispatch/EndpointAgent.js";
import type { EngineOrder } from "../../fleet/EngineOrder.js";
import { followOrder } from "../../fleet/followOrder.js";
import type { EncodedCall } from "../../ports/EncodedCall.js";
import type { EndpointWire } from "../../ports/EndpointWire.js";
import { endpointTableOf } from "../support/endpointTableOf.js";
import { entryOf } from "../support/entryOf.js";

// A beacon or a report about an older order ends a newer one, and an engine loads the same weights twice.

const model = "model" as ModelName;
const own = (issuedAt: number): EngineOrder => ({ model, version: 2, issuedAt, seenAt: issuedAt, isOwn: true });
const received = (issuedAt: number, seenAt: number): EngineOrder => ({
    model,
    version: 1,
    issuedAt,
    seenAt,
    isOwn: false,
});

type Case = {
    readonly name: string;
    readonly orders: readonly EngineOrder[];
    readonly at: number;
    readonly current: number | undefined;
};

const cases: readonly Case[] = [
    { name: "an issued order is current", orders: [own(1_000)], at: 1_100, current: 1_000 },
    { name: "an order not seen for long is dropped", orders: [own(1_000)], at: 4_000, current: undefined },
    {
        name: "a received older order does not replace a newer one",
        orders: [own(9_000), received(1_000, 9_010)],
        at: 9_100,
        current: 9_000,
    },
    {
        name: "a received newer order replaces an older one",
        orders: [own(1_000), { ...own(9_000), isOwn: false }],
        at: 9_100,
        current: 9_000,
    },
    {
        name: "a repeated order of another VM that seems a little older is the same one",
        orders: [{ ...own(1_000), isOwn: false }, { ...own(990), seenAt: 3_600, isOwn: false }],
        at: 4_000,
        current: 990,
    },
];

cases.forEach(({ name, orders, at, current }) => {
    test(`engine orders: ${name}`, t => {
        const { endpointTable, time, engine } = endpointTableOf();
        orders.forEach(order => {
            time.now = order.seenAt;
            endpointTable.recordOrder(engine, order);
        });
        time.now = at;
        t.is(endpointTable.engines(model)[0]?.order?.issuedAt, current);
    });
});

test("engine orders: only orders that have not ended are sent to the other VMs", t => {
    const { endpointTable, time, engine } = endpointTableOf();
    endpointTable.recordOrder(engine, own(time.now));
    t.is(endpointTable.ownOrders().length, 1);
    endpointTable.observeWeights(engine, { model, version: 2 });
    t.is(endpointTable.ownOrders().length, 0);
});

/** Effects of a report on an order that expected no accepted orders, with none in progress. */
const reports = [
    {
        name: "a report on a void order does not end a newer one",
        newerAt: 1_050,
        ordersTaken: 3,
        bornAt: 1,
        isOver: false,
    },
    { name: "a report on a void order ends it", newerAt: undefined, ordersTaken: 3, bornAt: 1, isOver: true },
    { name: "a report of a later start ends the order", newerAt: undefined, ordersTaken: 0, bornAt: 2, isOver: true },
].map(each => ({ ...each, version: 1, seen: 1 })).concat([
    {
        name: "a report of another start does not tell the engine's version",
        newerAt: undefined,
        ordersTaken: 0,
        bornAt: 2,
        isOver: true,
        version: 2,
        seen: 1,
    },
]);

reports.forEach(({ name, newerAt, ordersTaken, bornAt, version, isOver, seen }) => {
    test(`engine orders: ${name}`, async t => {
        const server = createServer((_req, res) => res.end());
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const { endpointTable, time, engine } = endpointTableOf(
            `127.0.0.1:${(server.address() as AddressInfo).port}`,
        );
        const agent = new EndpointAgent(() => time.now);
        const wire = {
            reportCall: { method: "GET", target: "/", headers: ["Host", "engine"], body: Buffer.alloc(0) },
            decodeReport: () => ({ versions: new Map([[model, version]]), isBusy: false, ordersTaken, bornAt }),
        } as unknown as EndpointWire;
        endpointTable.recordOrder(engine, own(1_000));
        const entry = endpointTable.entryOf(engine) ?? entryOf(engine);
        const followed = { entry, model, version: 2, issuedAt: 1_000, ordersBefore: 0 };
        const ended = new Promise<void>(resolve => {
            const calls = {
                call: (address: string, call: EncodedCall, timeoutMs: number): Promise<CallResult> =>
                    callOnce(agent, address, call, timeoutMs),
                schedule: (delayMs: number, run: () => void): void => void setTimeout(run, delayMs),
            };
            void followOrder(
                { clock: { now: () => time.now, epoch: () => 0 }, endpointTable, calls, wire },
                followed,
                () => resolve(),
            );
        });
        if (newerAt !== undefined) {
            endpointTable.recordOrder(engine, own(newerAt));
        }
        await ended;
        t.is(endpointTable.engines(model)[0]?.order === undefined, isOver);
        t.is(endpointTable.engines(model)[0]?.version, seen);
        agent.destroy();
        server.close();
    });
});
