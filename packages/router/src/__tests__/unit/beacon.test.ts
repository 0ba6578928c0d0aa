import type { EndpointName, FailureDomain, Incarnation, OrganisationId, ServiceName, VmId } from "@azureshunt/core";
import type { SuspectKey } from "@azureshunt/quarantine";
import test from "ava";

import type { Beacon } from "../../peers/Beacon.js";
import { createBeaconEncoder } from "../../peers/createBeaconEncoder.js";
import { decodeBeacon } from "../../peers/decodeBeacon.js";
import { VmAddress } from "../../peers/VmAddress.js";

const beacon: Beacon = {
    vm: "vm-1" as VmId,
    incarnation: "run-1" as Incarnation,
    failureDomain: "a" as FailureDomain,
    sequence: 7,
    sentAt: 1_000,
    echo: undefined,
    capacity: 0.5,
    scope: "fleet",
    vms: [{
        vm: "vm-2" as VmId,
        address: "10.0.0.2:7600",
        failureDomain: "b" as FailureDomain,
        capacity: 1,
        hasStore: false,
        ageMs: 300,
    }],
    domains: [{ failureDomain: "b" as FailureDomain, vms: 40, silent: 1, ageMs: 20 }],
    relayedSpent: [],
    relayedLoad: [],
    relayedDemand: 90,
    revision: 3,
    confirmedMs: 12,
    weights: [],
    spent: [],
    load: [["e1" as EndpointName, { running: 2, waitingTokens: 300, memoryTokens: 900 }]],
    demand: 40,
    ordered: [],
    engineVersions: [],
    cached: [["e1", [{ key: "manual", tokens: 4_000 }, { key: "own", tokens: 70 }]], ["10.0.0.9:80", []]],
    lease: undefined,
    deaths: [],
    suspectParts: [["part-1" as SuspectKey, "engine/1", true, 12]],
    answeredParts: [["part-2" as SuspectKey, 250]],
    quarantined: [],
    limits: [["e1" as EndpointName, 1_700, 0.2, 40], ["e2" as EndpointName, 1_800, -1, 900]],
    availability: [["e1" as EndpointName, 1_700, 900, 0], ["e2" as EndpointName, 1_800, -1, 2_900]],
    rollouts: [{
        service: "desk" as ServiceName,
        id: 7,
        version: "v2",
        durationMs: 12_000,
        ageMs: 900,
        phase: "canary",
        statedMs: 40,
    }, {
        service: "lm" as ServiceName,
        id: 9,
        version: "v3",
        durationMs: 30_000,
        ageMs: 10,
        phase: undefined,
        statedMs: 0,
    }],
    upMs: 5_000,
    registry: { digest: "d1", ageMs: 40 },
    hasStore: true,
    isLeaving: false,
};

/** Position of the sizes of cached parts; still later versions added the fields after it. */
const CACHED_TOKENS = 22;
const LOAD = 12;

const datagramsOf = (sent: Beacon): readonly Buffer[] => createBeaconEncoder(sent)(sent);
const rowOf = (): unknown[] => JSON.parse(datagramsOf(beacon)[0]?.toString("utf8") ?? "") as unknown[];
const decoded = (row: readonly unknown[]): Beacon | undefined => decodeBeacon(Buffer.from(JSON.stringify(row)));

test("beacon: an encoded beacon is decoded unchanged", t => {
    t.deepEqual(datagramsOf(beacon).map(decodeBeacon), [beacon]);
});

// Guards against VMs of different versions that cannot read each other's beacons during a release.
test("beacon: the unread bytes of a load are optional, and bytes that are no number make it invalid", t => {
    const share = { running: 2, waitingTokens: 300, memoryTokens: 900 };
    const name = "e1" as EndpointName;
    const load = [[name, { ...share, unreadBytes: 70_000 }]] as const;
    t.deepEqual(datagramsOf({ ...beacon, load, relayedLoad: load }).map(decodeBeacon), [
        { ...beacon, load, relayedLoad: load },
    ]);
    t.deepEqual(decoded(rowOf().with(LOAD, [[name, 2, 300, 900]]))?.load, [[name, share]]);
    t.deepEqual(decoded(rowOf().with(LOAD, [[name, 2, 300, 900, 0, "later"]]))?.load, [[name, share]]);
    t.is(decoded(rowOf().with(LOAD, [[name, 2, 300, 900, "many"]])), undefined);
});

test("beacon: one of an earlier version, without the sizes of cached parts, is decoded with sizes of 0", t => {
    const { cached } = decoded(rowOf().slice(0, CACHED_TOKENS)) ?? beacon;
    t.deepEqual(cached[0]?.[1], [{ key: "manual", tokens: 0 }, { key: "own", tokens: 0 }]);
});

// Builds of before run beside this one while VMs are updated.
test("beacon: one of an earlier version, without rows about prompt parts, is decoded with none", t => {
    const SUSPECT_PARTS = 33;
    const { suspectParts, answeredParts } = decoded(rowOf().slice(0, SUSPECT_PARTS)) ?? beacon;
    t.deepEqual([suspectParts, answeredParts], [[], []]);
});

// Guards against a process that ends, or reads nothing any more, as it calls or sends to an address that is none.
["", "x", "10.0.0.2", "10.0.0.2:0", "10.0.0.2:65536", "10.0.0.2:x", "10.0.0.256:7600", "10.0.0.2:7600:1", 7_600]
    .forEach(
        address => {
            test(`beacon: one that names a VM at ${JSON.stringify(address)} is not valid`, t => {
                const VMS = 27;
                const [vm = []] = rowOf()[VMS] as unknown[][];
                t.is(decoded(rowOf().with(VMS, [vm.with(1, address)])), undefined);
                t.false(VmAddress.safeParse(address).success);
            });
        },
    );

// Guards against all requests failing, as the VMs of a failure domain cannot be listed whose number is none.
[1e308, 2 ** 32, 65_536, -1, 0.5].forEach(count => {
    test(`beacon: one by which a failure domain has ${count} VMs is not valid`, t => {
        const DOMAINS = 28;
        t.is(decoded(rowOf().with(DOMAINS, [["b", count, 1, 20]])), undefined);
        t.is(decoded(rowOf().with(DOMAINS, [["b", 40, count, 20]])), undefined);
    });
});

const invalidSizes: readonly { readonly name: string; readonly sizes: unknown; }[] = [
    { name: "a number in place of the list", sizes: 5 },
    { name: "a text in place of a size", sizes: [["many", 70], []] },
    { name: "a number in place of a holder's list", sizes: [4_000] },
];
invalidSizes.forEach(({ name, sizes }) => {
    test(`beacon: one with invalid sizes of cached parts is rejected: ${name}`, t => {
        t.is(decoded([...rowOf().slice(0, CACHED_TOKENS), sizes]), undefined);
    });
});

test("beacon: one of an earlier version, without limits of endpoints, is decoded with none", t => {
    const LIMITS = 35;
    t.deepEqual(decoded(rowOf().slice(0, LIMITS))?.limits, []);
    t.deepEqual(decoded(rowOf())?.limits, beacon.limits);
});

test("beacon: one of an earlier version, without the tokens requested per second, is decoded with 0 of them", t => {
    const row = rowOf();
    const SPENT = 11;
    t.deepEqual(decoded([...row.slice(0, SPENT), [["org", 70]], ...row.slice(SPENT + 1)])?.spent as unknown, [[
        "org",
        70,
        0,
    ]]);
});

// A datagram that links fragment is lost with any of its fragments, so that among many VMs hardly one arrives.
test("beacon: one with many rows is encoded as datagrams of 1,200 bytes at most, which contain each row once", t => {
    const names = Array.from({ length: 120 }, (_, i) => `engine-${i}`);
    const share = { running: 12, waitingTokens: 34_567, memoryTokens: 234_567 };
    const many: Beacon = {
        ...beacon,
        echo: { incarnation: "run-2-of-some-length" as Incarnation, sentAt: 123_456.789, heldMs: 12.345 },
        engineVersions: names.map(name => [name as EndpointName, 3] as const),
        relayedLoad: names.map(name => [name as EndpointName, share] as const),
        cached: names.map(name => [name, [{ key: `part-of-${name}`, tokens: 5_382 }]] as const),
    };
    const datagrams = datagramsOf(many);
    t.true(
        datagrams.every(({ length }) => length <= 1_200),
        `${Math.max(...datagrams.map(({ length }) => length))} bytes`,
    );
    const received = datagrams.map(decodeBeacon);
    t.deepEqual(received.flatMap(each => each?.engineVersions ?? []), many.engineVersions);
    t.deepEqual(received.flatMap(each => each?.relayedLoad ?? []), many.relayedLoad);
    t.deepEqual(received.flatMap(each => each?.cached ?? []), many.cached);
    t.deepEqual(received.map(each => each?.sequence), datagrams.map(() => 7));
    t.deepEqual(received.flatMap(each => each?.load ?? []), many.load);
});

const invalidRows: readonly { readonly name: string; readonly field: number; readonly rows: unknown; }[] = [
    { name: "a VM without an address", field: 27, rows: [["vm-2", "", "b", 1, true, 3]] },
    { name: "a count that is a text", field: 28, rows: [["b", "many", 0, 1]] },
    { name: "spending without an organisation", field: 29, rows: [[5, 5, 5]] },
    { name: "a load of three numbers", field: 30, rows: [["e1", 1, 2]] },
    { name: "an unknown scope", field: 26, rows: "all" },
    { name: "a suspect part without an age", field: 33, rows: [["part-1", "engine/1", true]] },
    { name: "an answered part without an age", field: 34, rows: [["part-2"]] },
];
invalidRows.forEach(({ name, field, rows }) => {
    test(`beacon: one with ${name} is rejected`, t => {
        const row = rowOf();
        t.is(decoded([...row.slice(0, field), rows, ...row.slice(field + 1)]), undefined);
    });
});

// The first page is kept between receivers, and one with another demand must not get that of the receiver before it.
test("each receiver gets its own relayed demand, also after another one", t => {
    const { sequence, sentAt, echo, relayedSpent, relayedLoad, relayedDemand: first, ...common } = beacon;
    const encode = createBeaconEncoder(common);
    const demands = [first, first, 40, first].map(relayedDemand => {
        const [first = Buffer.alloc(0)] = encode({ sequence, sentAt, echo, relayedSpent, relayedLoad, relayedDemand });
        return decodeBeacon(first)?.relayedDemand;
    });
    t.deepEqual(demands, [90, 90, 40, 90]);
});

// Encoded relayed rows are kept between receivers, and one must not get those of the receiver before it.
test("each receiver gets its own relayed rows, also after another one", t => {
    const { sequence, sentAt, echo, relayedSpent: none, relayedLoad, relayedDemand, ...common } = beacon;
    const encode = createBeaconEncoder(common);
    const sums = [10, 10, 4, 0, 10];
    const received = sums.map(tokens => {
        const relayedSpent = tokens === 0 ? none : [["org" as OrganisationId, tokens, 1] as const];
        return encode({ sequence, sentAt, echo, relayedSpent, relayedLoad, relayedDemand })
            .flatMap(datagram => decodeBeacon(datagram)?.relayedSpent ?? [])
            .map(([, spent]) => spent);
    });
    t.deepEqual(received, [[10], [10], [4], [], [10]]);
});

// Relayed rows fill up the last page, which must keep its own rows, and the first page its load and relayed demand.
[0, 30].forEach(versions => {
    test(`relayed rows share the last page of a beacon with ${versions} versions, and replace none of its rows`, t => {
        const engineVersions = Array.from(
            { length: versions },
            (_, i) => [`engine-with-a-long-name-${i}` as EndpointName, 3] as const,
        );
        const { sequence, sentAt, echo, relayedSpent: none, relayedLoad, relayedDemand, ...common } = beacon;
        const encode = createBeaconEncoder({ ...common, engineVersions });
        const organisations = Array.from({ length: 4 }, (_, i) => `org-${i}` as OrganisationId);
        const plain = encode({ sequence, sentAt, echo, relayedSpent: none, relayedLoad, relayedDemand });
        [1, 2, 1].forEach(tokens => {
            const relayedSpent = organisations.map(id => [id, tokens, 0] as const);
            const datagrams = encode({ sequence, sentAt, echo, relayedSpent, relayedLoad, relayedDemand });
            const received = datagrams.map(decodeBeacon);
            t.is(datagrams.length, plain.length);
            t.true(datagrams.every(({ length }) => length <= 1_200));
            t.deepEqual(received.flatMap(each => each?.relayedSpent ?? []), relayedSpent);
            t.deepEqual(received.flatMap(each => each?.engineVersions ?? []), engineVersions);
            t.deepEqual(received.flatMap(each => each?.vms ?? []), beacon.vms);
            t.deepEqual(received.map(each => each?.load), datagrams.map((_, i) => i === 0 ? beacon.load : undefined));
            t.deepEqual(
                received.map(each => each?.relayedDemand),
                datagrams.map((_, i) => i === 0 ? relayedDemand : 0),
            );
        });
    });
});
