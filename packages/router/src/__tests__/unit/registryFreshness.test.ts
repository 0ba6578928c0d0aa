import type { FailureDomain, Incarnation, ModelName, VmId } from "@azureshunt/core";
import test from "ava";

import type { Beacon } from "../../peers/Beacon.js";
import { isReader } from "../../peers/isReader.js";
import type { Members } from "../../peers/Members.js";
import { digestOfRegistry } from "../../registry/digestOfRegistry.js";
import type { EndpointEntry } from "../../registry/EndpointEntry.js";
import { initialRegistryFreshness } from "../../registry/initialRegistryFreshness.js";
import { registryDueIn } from "../../registry/registryDueIn.js";
import type { RegistryFreshnessEvent } from "../../registry/RegistryFreshnessEvent.js";
import { stepRegistryFreshness } from "../../registry/stepRegistryFreshness.js";
import { entryOf } from "../support/entryOf.js";

const LEAVING_MS = 2_000;
const READ_INTERVAL_MS = 700;
const FOLLOWER_INTERVAL_MS = 1_000;

const read = (requestedAt: number): RegistryFreshnessEvent => ({
    kind: "read",
    requestedAt,
    asOf: requestedAt,
});
const received = (isSame: boolean, asOf: number, stampedAt = asOf): RegistryFreshnessEvent => ({
    kind: "received",
    isSame,
    asOf,
    stampedAt,
});

type Case = {
    readonly name: string;
    readonly events: readonly RegistryFreshnessEvent[];
    readonly isReader: boolean;
    /** When the next read is due. */
    readonly dueAt: number;
};

// The VM that reads the registry dies, and the others keep sending requests to an endpoint that has left.
const cases: readonly Case[] = [
    { name: "nothing known: read now", events: [], isReader: false, dueAt: -Infinity },
    {
        name: "the reader reads again one interval after its last read",
        events: [read(5_000)],
        isReader: true,
        dueAt: 5_000 + READ_INTERVAL_MS,
    },
    {
        name: "a follower waits longer than the reader",
        events: [read(5_000)],
        isReader: false,
        dueAt: 5_000 + FOLLOWER_INTERVAL_MS,
    },
    {
        name: "a confirmation of the same entries postpones the next read",
        events: [read(5_000), received(true, 5_700)],
        isReader: false,
        dueAt: 5_700 + FOLLOWER_INTERVAL_MS,
    },
    {
        name: "a confirmation as of an earlier time does not postpone it",
        events: [read(5_000), received(true, 4_000)],
        isReader: false,
        dueAt: 5_000 + FOLLOWER_INTERVAL_MS,
    },
    {
        name: "a peer has read other entries since: read as soon as a reader would",
        events: [read(5_000), received(false, 5_300)],
        isReader: false,
        dueAt: 5_000 + READ_INTERVAL_MS,
    },
    {
        name: "other entries as of an earlier time do not make a read due sooner",
        events: [read(5_000), received(false, 4_900)],
        isReader: false,
        dueAt: 5_000 + FOLLOWER_INTERVAL_MS,
    },
    {
        name: "the reader becomes silent: the read is due by its last confirmation",
        events: [read(5_000), received(true, 5_700), received(true, 6_400)],
        isReader: false,
        dueAt: 6_400 + FOLLOWER_INTERVAL_MS,
    },
    {
        name: "after a suspension, anything that rests on earlier timestamps is ignored",
        events: [read(5_000), { kind: "suspended", now: 9_000 }, received(true, 9_100, 4_900), read(8_900)],
        isReader: false,
        dueAt: -Infinity,
    },
];

cases.forEach(({ name, events, isReader: reads, dueAt }) => {
    test(`registry freshness: ${name}`, t => {
        const freshness = events.reduce(stepRegistryFreshness, initialRegistryFreshness);
        t.is(registryDueIn({ freshness, isReader: reads, leavingMs: LEAVING_MS }, 0), dueAt);
    });
});

const digestOf = (...entries: readonly EndpointEntry[]): string =>
    digestOfRegistry({
        endpoints: new Map(entries.map(each => [each.name, { entry: each, missingSince: undefined }])),
    });

test("registry digest: the same entries in another order have the same digest", t => {
    t.is(digestOf(entryOf("a"), entryOf("b")), digestOf(entryOf("b"), entryOf("a")));
});

const differences = [
    { name: "an endpoint is leaving", entries: [entryOf("a", { isLeaving: true })] },
    { name: "an endpoint is gone", entries: [] },
    { name: "an endpoint was added", entries: [entryOf("a"), entryOf("b")] },
    { name: "a new incarnation of the endpoint has started", entries: [entryOf("a", { bornAt: 2 })] },
    { name: "the address of the endpoint has changed", entries: [entryOf("a", { address: "10.0.0.2:80" })] },
] as const;
differences.forEach(({ name, entries }) => {
    test(`registry digest: differs if ${name}`, t => {
        t.not(digestOf(...entries), digestOf(entryOf("a")));
    });
});

const engineWith = (...versions: readonly (readonly [string, number])[]): EndpointEntry =>
    entryOf("a", { versions: new Map(versions as readonly (readonly [ModelName, number])[]) });
const models = [
    { name: "a further model has appeared", before: engineWith(["m", 1]), after: engineWith(["m", 1], ["n", 1]) },
    { name: "one of two models has left", before: engineWith(["m", 1], ["n", 1]), after: engineWith(["n", 1]) },
    {
        name: "one of two models was replaced",
        before: engineWith(["m", 1], ["n", 1]),
        after: engineWith(["m", 1], ["o", 1]),
    },
    {
        name: "the weights of one of two models were replaced",
        before: engineWith(["m", 1], ["n", 1]),
        after: engineWith(["n", 2], ["m", 1]),
        isSame: true,
    },
    {
        name: "an engine states one model, as an earlier version's digest leaves it out",
        before: entryOf("a"),
        after: engineWith(["m", 1]),
        isSame: true,
    },
];
// Guards against VMs that don't know of an engine which has begun to serve a further model, and refuse its requests.
models.forEach(({ name, before, after, isSame = false }) => {
    test(`registry digest: ${isSame ? "is the same" : "differs"} if ${name}`, t => {
        t.is(digestOf(before) === digestOf(after), isSame);
    });
});

const membersOf = (
    others: readonly { readonly vm: string; readonly beaconAt: number; readonly hasStore: boolean; }[],
): Members => ({
    vm: "vm-2" as VmId,
    incarnation: "run" as Incarnation,
    failureDomain: "fd" as FailureDomain,
    capacity: 1,
    domainSummaries: new Map(),
    fleetSummary: undefined,
    startedAt: 0,
    isListed: true,
    seeds: [],
    known: new Map(others.map(({ vm, beaconAt, hasStore }) => [
        vm as VmId,
        {
            vm: vm as VmId,
            address: "10.0.0.1:1",
            failureDomain: "fd" as FailureDomain,
            capacity: 1,
            hasStore,
            lastSeenAt: beaconAt,
            lastReceived: {
                incarnation: "run" as Incarnation,
                failureDomain: "fd" as FailureDomain,
                receivedAt: beaconAt,
                startedBefore: 0,
                beacon: { hasStore } as Beacon,
                sentAfter: beaconAt,
                stampedAt: beaconAt,
            },
        },
    ])),
});

const readerCases = [
    { name: "this VM reads if it is alone", others: [], reads: true },
    {
        name: "this VM does not read if it receives beacons of an earlier VM",
        others: [{ vm: "vm-1", beaconAt: 9_000, hasStore: true }],
        reads: false,
    },
    {
        name: "this VM reads if it receives beacons of later VMs only",
        others: [{ vm: "vm-3", beaconAt: 9_000, hasStore: true }],
        reads: true,
    },
    {
        name: "this VM reads if the earlier VM has become silent",
        others: [{ vm: "vm-1", beaconAt: 7_000, hasStore: true }],
        reads: true,
    },
    {
        name: "this VM reads if the earlier VM is cut off from the store",
        others: [{ vm: "vm-1", beaconAt: 9_000, hasStore: false }],
        reads: true,
    },
] as const;
readerCases.forEach(({ name, others, reads }) => {
    test(`registry reader: ${name}`, t => {
        t.is(isReader(membersOf(others), 10_000), reads);
    });
});
