import type { Clock, EndpointName, ModelName, ServiceName } from "@azureshunt/core";
import { createMetrics } from "@azureshunt/telemetry";
import test from "ava";

import { createEndpointLimits } from "../../placement/createEndpointLimits.js";
import { limitRowNames } from "../../placement/limitRowNames.js";
import type { EndpointEntry } from "../../registry/EndpointEntry.js";
import { silentLogger } from "../support/silentLogger.js";

const service = "lm" as ServiceName;
const model = "m" as ModelName;
const pool = { service, model };

const entryOf = (name: string, bornAt = 1): EndpointEntry => ({
    name: name as EndpointName,
    service,
    address: `${name}:1`,
    failureDomain: "a" as EndpointEntry["failureDomain"],
    isLeaving: false,
    slots: 6,
    softwareVersion: "v1",
    versions: new Map([[model, 1]]),
    bornAt,
});
const entries = ["e1", "e2"].map(name => entryOf(name));
const placeable = entries.map(entry => ({ entry }));

const startLimits = (others: Readonly<Record<string, number>> = {}) => {
    const time = { now: 0 };
    const sends = { count: 0 };
    const clock: Clock = { now: () => time.now, epoch: () => time.now };
    const limits = createEndpointLimits({
        clock,
        random: () => 0,
        entryOf: name => entries.find(entry => entry.name === name),
        sumOfOthers: row => others[row] ?? 0,
        vms: () => ({ vms: 2, silentVms: 0 }),
        sendSoon: () => {
            sends.count += 1;
        },
        logger: silentLogger,
        metrics: createMetrics(),
    });
    return { limits, time, sends };
};
const [e1, e2] = entries as [EndpointEntry, EndpointEntry];
const namesOf = (list: readonly { readonly entry: EndpointEntry; }[]) => list.map(({ entry }) => entry.name as string);

test("endpoint limits: without one, nothing is sent to the others and all endpoints may be used", t => {
    const { limits } = startLimits();
    limits.observe(e1, undefined);
    t.is(limits.select(pool, placeable).unlimited, placeable);
    t.deepEqual([limits.rows(), limits.loadRows()], [[], []]);
    t.is(limits.refuse(pool), undefined);
});

test("endpoint limits: one that begins, and one that ends, is sent to the others at once, and known to them", t => {
    const { limits, time, sends } = startLimits();
    const { limits: other, time: otherTime } = startLimits();
    limits.observe(e1, 2);
    t.deepEqual(limits.rows(), [["e1" as EndpointName, 1, 2, 0]]);
    t.true(other.applyBeacon(limits.rows()));
    t.false(other.applyBeacon(limits.rows()));
    t.true(other.isLimited(e1));
    limits.observe(e1, 2);
    [time, otherTime].forEach(each => {
        each.now = 500;
    });
    limits.observe(e1, undefined);
    t.is(sends.count, 2);
    t.true(other.applyBeacon(limits.rows()));
    t.false(other.isLimited(e1));
    t.false(limits.isLimited(e1));
    time.now = 11_000;
    t.deepEqual(limits.rows(), []);
});

test("endpoint limits: one of an earlier incarnation does not bind", t => {
    const { limits } = startLimits();
    limits.observe(e1, 2);
    t.false(limits.isLimited(entryOf("e1", 2)));
});

test("endpoint limits: what cannot be read changes nothing", t => {
    const { limits } = startLimits();
    limits.observe(e1, "unreadable");
    t.false(limits.isLimited(e1));
    limits.observe(e1, 2);
    limits.observe(e1, "unreadable");
    t.true(limits.isLimited(e1));
});

test("endpoint limits: a request goes to a limited endpoint in turn, and no turn is given beyond what others have sent", t => {
    const { limits, time } = startLimits();
    const exhausted = startLimits({ [limitRowNames.sent(e1.name)]: 9 });
    [limits, exhausted.limits].forEach(each => each.observe(e1, 1));
    const countTurns = (each: typeof limits, clock: { now: number; }): number =>
        Array.from({ length: 400 }, (_, i) => i).filter(i => {
            clock.now = 5_000 + i * 50;
            const { unlimited, turns } = each.select(pool, placeable);
            each.recordPlaced(pool);
            t.deepEqual(namesOf(unlimited), ["e2"]);
            turns.forEach(({ entry }) => each.recordTry(entry, "first"));
            return turns.length > 0;
        }).length;
    const turns = countTurns(limits, time);
    t.true(turns >= 10 && turns <= 20, String(turns));
    t.is(countTurns(exhausted.limits, exhausted.time), 0);
});

test("endpoint limits: VMs state what they place and have sent while an endpoint is limited", t => {
    const { limits } = startLimits();
    limits.observe(e1, 1);
    limits.recordPlaced(pool);
    limits.recordTry(e1, "first");
    limits.recordTry(e2, "first");
    const rows = new Map(limits.loadRows());
    t.is(rows.get(limitRowNames.offered(pool))?.running, 1_000);
    t.is(rows.get(limitRowNames.sent(e1.name))?.running, 1);
    t.is(rows.size, 2);
});

test("endpoint limits: a refusal names the limited endpoints, and callers come back one after the other", t => {
    const { limits } = startLimits();
    [e1, e2].forEach(entry => limits.observe(entry, 5));
    Array.from({ length: 20 }).forEach(() => limits.recordPlaced(pool));
    const refusals = Array.from({ length: 3 }, () => limits.refuse(pool));
    t.deepEqual(refusals[0]?.endpoints, [e1.name, e2.name]);
    const times = refusals.map(each => each?.retryAfterSeconds ?? 0);
    t.true(times.every((time, i) => time > (times[i - 1] ?? 0)));
});

test("endpoint limits: many that have been known for long are sent in turn", t => {
    const { limits, time } = startLimits();
    const many = Array.from({ length: 20 }, (_, i) => entryOf(`x${i}`));
    many.forEach(entry => limits.observe(entry, 1));
    t.is(limits.rows().length, 20);
    time.now = 2_000;
    const sent = Array.from({ length: 3 }, () => limits.rows());
    t.deepEqual(sent.map(({ length }) => length), [8, 8, 8]);
    t.is(new Set(sent.flat().map(([endpoint]) => endpoint)).size, 20);
});
