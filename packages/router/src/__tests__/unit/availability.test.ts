import type { AvailabilityRow } from "@azureshunt/availability";
import type { Clock, EndpointName, ModelName, ServiceName } from "@azureshunt/core";
import { createMetrics } from "@azureshunt/telemetry";
import test from "ava";

import { createAvailability } from "../../placement/createAvailability.js";
import type { EndpointEntry } from "../../registry/EndpointEntry.js";
import { silentLogger } from "../support/silentLogger.js";

const entryOf = (name: string, bornAt = 1): EndpointEntry => ({
    name: name as EndpointName,
    service: "lm" as ServiceName,
    address: `${name}:1`,
    failureDomain: "a" as EndpointEntry["failureDomain"],
    isLeaving: false,
    slots: 6,
    softwareVersion: "v1",
    versions: new Map([["m" as ModelName, 1]]),
    bornAt,
});
const entries = ["e1", "e2", "e3"].map(name => entryOf(name));
const [e1, e2, e3] = entries as [EndpointEntry, EndpointEntry, EndpointEntry];
const placeable = entries.map(entry => ({ entry }));

const startVm = (registered: readonly EndpointEntry[] = entries, tunnelled: readonly EndpointEntry[] = []) => {
    const time = { now: 0 };
    const sends = { count: 0 };
    const clock: Clock = { now: () => time.now, epoch: () => time.now };
    const availability = createAvailability({
        clock,
        random: () => 0,
        entryOf: name => registered.find(entry => entry.name === name),
        isReachedByTunnel: entry => tunnelled.includes(entry),
        sendSoon: () => {
            sends.count += 1;
        },
        logger: silentLogger,
        metrics: createMetrics(),
    });
    const selected = (): readonly string[] => availability.select(placeable).map(({ entry }) => entry.name);
    return { availability, time, sends, selected };
};
const ok = {
    isLeaving: false,
    retryAfterMs: undefined,
    requestId: "r" as string | undefined,
    isGenuine: true,
    shows: "room" as "room" | "no-room" | "nothing",
    sentAt: 0,
};
const leaving = { ...ok, isLeaving: true };
const refusal = { ...ok, shows: "no-room" as const };

// Guards against an endpoint that is chosen although it has said that it wants no requests.
test("availability: without a statement all endpoints may be chosen, and nothing is told", t => {
    const { availability, sends } = startVm();
    availability.observe(e1, ok);
    t.is(availability.select(placeable), placeable);
    t.deepEqual([availability.rows(), sends.count], [[], 0]);
});

const choices:
    readonly (readonly [name: string, answers: readonly (typeof ok | typeof leaving)[], chosen: readonly string[]])[] =
        [
            ["e1 leaves", [leaving], ["e2", "e3"]],
            ["e1 leaves, and an older answer follows", [leaving, ok], ["e2", "e3"]],
            ["e1 leaves, and a refusal says so", [{ ...refusal, isLeaving: true }], ["e2", "e3"]],
            ["an intermediary says so", [{ ...leaving, isGenuine: false }], [
                "e1",
                "e2",
                "e3",
            ]],
            ["e1 refuses", [refusal], ["e2", "e3"]],
            ["e1 refuses, and answers a call for its report", [refusal, { ...ok, shows: "nothing", sentAt: 1 }], [
                "e2",
                "e3",
            ]],
            ["an answer to an order says that e1 leaves", [{ ...leaving, shows: "nothing", requestId: undefined }], [
                "e2",
                "e3",
            ]],
            ["e1 refuses, and serves a later request", [refusal, { ...ok, sentAt: 1 }], ["e1", "e2", "e3"]],
        ];
choices.forEach(([name, answers, chosen]) => {
    test(`availability: ${chosen.join(", ")} may be chosen if ${name}`, t => {
        const { availability, selected } = startVm();
        answers.forEach(answer => availability.observe(e1, answer));
        t.deepEqual(selected(), chosen);
    });
});

// Guards against refusing requests that an endpoint could take, and against sending them where they are unwanted.
test("availability: an endpoint that has just refused is used if no other is left, one that wants a pause is not", t => {
    const { availability, selected, time } = startVm();
    availability.observe(e1, { ...refusal, retryAfterMs: 3_000 as never });
    availability.observe(e2, refusal);
    availability.observe(e3, leaving);
    t.deepEqual(selected(), ["e2"]);
    t.deepEqual(entries.map(availability.maySend), [false, true, false]);
    time.now = 3_000;
    t.deepEqual(selected(), ["e1", "e2"]);
});

// Guards against an endpoint that is lost for what an earlier incarnation has said, and against a late answer of that.
test("availability: a new incarnation has said nothing", t => {
    const { availability } = startVm();
    availability.observe(e1, leaving);
    const restarted = entryOf("e1", 2);
    t.true(availability.maySend(restarted));
    availability.observe(restarted, refusal);
    availability.observe(e1, leaving);
    t.true(availability.maySend(restarted));
});

// Guards against VMs that do not tell each other, and against beacons that go round for ever.
test("availability: the others are told at once, and prefer other endpoints during a pause that they were not asked for", t => {
    const here = startVm();
    const there = startVm();
    here.availability.observe(e1, leaving);
    here.availability.observe(e2, { ...refusal, retryAfterMs: 3_000 as never });
    here.availability.observe(e2, { ...refusal, retryAfterMs: 3_000 as never });
    t.is(here.sends.count, 2);
    const rows = here.availability.rows();
    t.deepEqual(rows, [["e1", 1, 0, 0], ["e2", 1, -1, 3_000]] as unknown as readonly AvailabilityRow[]);
    t.true(there.availability.applyBeacon(rows));
    t.false(there.availability.applyBeacon(rows));
    t.deepEqual(there.selected(), ["e3"]);
    t.deepEqual(entries.map(there.availability.maySend), [false, true, true]);
    t.false(here.availability.applyBeacon(there.availability.rows()));
    [here, there].forEach(({ time }) => {
        time.now = 5_000;
    });
    t.deepEqual(there.availability.rows(), [["e1", 1, 5_000, 0]] as unknown as readonly AvailabilityRow[]);
    t.deepEqual(there.selected(), ["e2", "e3"]);
});

// Guards against a VM that sends requests within a pause that another was told through its connection.
test("availability: a pause binds the VM through which the peer reaches the endpoint", t => {
    const here = startVm();
    const there = startVm(entries, [e1]);
    [e1, e2].forEach(entry => here.availability.observe(entry, { ...refusal, retryAfterMs: 3_000 as never }));
    there.availability.applyBeacon(here.availability.rows());
    t.deepEqual(entries.map(there.availability.maySend), [false, true, true]);
});

// Guards against statements that are kept for ever, and against one that is lost as a registry entry expires.
test("availability: what an endpoint has said is forgotten a minute after its entry is gone", t => {
    const registered = [...entries];
    const { availability, time } = startVm(registered);
    availability.observe(e1, leaving);
    registered.shift();
    time.now = 59_000;
    const rows = availability.rows();
    t.is(rows.length, 1);
    time.now = 60_000;
    t.is(availability.rows().length, 0);
    t.is(availability.leaving(), 0);
    // A peer that forgets it a moment later.
    time.now = 60_100;
    availability.applyBeacon(rows);
    time.now = 61_200;
    t.is(availability.rows().length, 0);
});

// Guards against an untrue Retry-After.
test("availability: callers return once the first pause ends, and only if all endpoints want one", t => {
    const { availability } = startVm();
    availability.observe(e1, { ...refusal, retryAfterMs: 3_000 as never });
    availability.observe(e2, { ...refusal, retryAfterMs: 2_000 as never });
    t.is(availability.returnAfterMs(entries, true), undefined);
    t.is(availability.returnAfterMs([e1, e2], true), 2_000);
    t.is(availability.returnAfterMs([], true), undefined);
});
