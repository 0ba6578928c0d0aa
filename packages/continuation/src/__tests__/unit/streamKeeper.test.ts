import { OrganisationId, RequestId, ServiceName } from "@azureshunt/core";
import test from "ava";

import { originOf } from "../support/originOf.js";
import { runOf } from "../support/runOf.js";
import { startKeepers } from "../support/startKeepers.js";

type Keepers = ReturnType<typeof startKeepers>;
type Vm = Keepers["vms"][number];

const ORGANISATION = OrganisationId.parse("org");
const LM = ServiceName.parse("lm");
const DEADLINE_MS = 15_000;
const ONE_VERSION = [runOf("e1", "v1"), runOf("e2", "v1")];
const TWO_VERSIONS = [...ONE_VERSION, runOf("e3", "v2"), runOf("e4", "v2")];

const vmAt = ({ vms }: Keepers, i: number): Vm => vms[i] as Vm;
const begin = ({ keeper }: Vm, request: string, version: string): void =>
    keeper.recordFirst(ORGANISATION, RequestId.parse(request), originOf("e1", version), DEADLINE_MS);
/** Takes a stream up and returns the decision, with the version at which it goes on. */
const takeUp = async ({ time }: Keepers, { keeper }: Vm, request: string | undefined): Promise<string> => {
    const resolved = keeper.resolve({
        organisation: ORGANISATION,
        begunBy: request === undefined ? undefined : RequestId.parse(request),
        service: LM,
        isTarget: () => true,
    });
    await time.runUntil(time.clock.now() + 10);
    const { continuation, source } = await resolved;
    const version = continuation.kind === "continue" ? ` at ${continuation.origin.softwareVersion}` : "";
    return `${continuation.kind}${version}, ${source}`;
};

test("stream keeper: with two versions, the homes of a stream are told, and need not ask", async t => {
    const keepers = startKeepers(["a", "b", "c"], TWO_VERSIONS);
    begin(vmAt(keepers, 0), "r1", "v2");
    await keepers.time.runUntil(50);
    t.deepEqual(keepers.told.toSorted(), ["b", "c"]);
    t.is(await takeUp(keepers, vmAt(keepers, 1), "r1"), "continue at v2, here");
    t.deepEqual(keepers.asked, []);
});

test("stream keeper: with one version, nobody is told or asked", async t => {
    const keepers = startKeepers(["a", "b", "c"], ONE_VERSION);
    await keepers.time.runUntil(1_000);
    begin(vmAt(keepers, 0), "r1", "v1");
    await keepers.time.runUntil(2_000);
    t.is(await takeUp(keepers, vmAt(keepers, 1), "r1"), "continue at v1, sole-version");
    t.is(await takeUp(keepers, vmAt(keepers, 1), undefined), "continue at v1, sole-version");
    t.deepEqual([keepers.told, keepers.asked], [[], []]);
});

// Guards against streams that began before a second version came being refused once it has.
test("stream keeper: when a second version comes, the streams that have begun are told", async t => {
    const keepers = startKeepers(["a", "b"], ONE_VERSION);
    await keepers.time.runUntil(1_000);
    begin(vmAt(keepers, 0), "r1", "v1");
    keepers.vms.forEach(({ state, keeper }) => {
        state.runs = TWO_VERSIONS;
        keeper.addEntries(TWO_VERSIONS);
    });
    await keepers.time.runUntil(1_100);
    vmAt(keepers, 0).state.isReachable = false;
    t.is(await takeUp(keepers, vmAt(keepers, 1), "r1"), "continue at v1, here");
});

// Guards against a stream being refused because the one datagram about it was lost.
test("stream keeper: a VM that was not told asks, and remembers the answer", async t => {
    const keepers = startKeepers(["a", "b"], TWO_VERSIONS);
    vmAt(keepers, 1).state.isReachable = false;
    begin(vmAt(keepers, 0), "r1", "v2");
    await keepers.time.runUntil(50);
    vmAt(keepers, 1).state.isReachable = true;
    t.is(await takeUp(keepers, vmAt(keepers, 1), "r1"), "continue at v2, peer");
    vmAt(keepers, 0).state.isReachable = false;
    t.is(await takeUp(keepers, vmAt(keepers, 1), "r1"), "continue at v2, here");
});

// Guards against a VM that is cut off taking the only version that it knows for that of a stream begun elsewhere.
test("stream keeper: a VM whose registry may be outdated refuses a stream that it does not know", async t => {
    const keepers = startKeepers(["a", "b"], ONE_VERSION);
    await keepers.time.runUntil(1_000);
    const cutOff = vmAt(keepers, 1);
    cutOff.state.isReachable = false;
    cutOff.state.registryAgeMs = 1_600;
    t.is(await takeUp(keepers, cutOff, "r1"), "origin-unknown, none");
    begin(cutOff, "r2", "v1");
    t.is(await takeUp(keepers, cutOff, "r2"), "continue at v1, here");
});

// Guards against a VM that has just started taking the only version that it has seen for that of all streams.
test("stream keeper: a VM that has just started learns from a peer which versions served before", async t => {
    const keepers = startKeepers(["a", "b"], ONE_VERSION, false);
    const started = vmAt(keepers, 0);
    await keepers.time.runUntil(20_000);
    t.is(await takeUp(keepers, started, "r1"), "origin-unknown, none");
    await keepers.time.runUntil(40_000);
    t.is(await takeUp(keepers, started, "r1"), "continue at v1, sole-version");
});

test("stream keeper: an id used for streams of two versions at two VMs is refused at both", async t => {
    const keepers = startKeepers(["a", "b"], TWO_VERSIONS);
    begin(vmAt(keepers, 0), "r1", "v1");
    begin(vmAt(keepers, 1), "r1", "v2");
    await keepers.time.runUntil(50);
    t.is(await takeUp(keepers, vmAt(keepers, 0), "r1"), "origin-unknown, here");
    t.is(await takeUp(keepers, vmAt(keepers, 1), "r1"), "origin-unknown, here");
});

test("stream keeper: a stream is forgotten once its caller has given up", async t => {
    const keepers = startKeepers(["a", "b"], TWO_VERSIONS);
    begin(vmAt(keepers, 0), "r1", "v1");
    await keepers.time.runUntil(DEADLINE_MS + 100);
    t.is(await takeUp(keepers, vmAt(keepers, 1), "r1"), "origin-unknown, none");
});

test("stream keeper: in a large fleet two homes are told, and any VM finds them", async t => {
    const names = Array.from({ length: 20 }, (_, i) => `vm-${i}`);
    const keepers = startKeepers(names, TWO_VERSIONS);
    begin(vmAt(keepers, 0), "r1", "v2");
    await keepers.time.runUntil(50);
    t.is(keepers.told.length, 2);
    vmAt(keepers, 0).state.isReachable = false;
    for (const vm of keepers.vms.slice(1)) {
        t.regex(await takeUp(keepers, vm, "r1"), /^continue at v2/);
    }
    t.true(keepers.asked.length <= 3 * names.length);
});

const starts = [
    { name: "a version that other VMs may not know gets none", isUp: () => true, selected: ["v1", "v1"] },
    {
        name: "it gets some if no other one can be reached",
        isUp: ({ softwareVersion }: { readonly softwareVersion: string | undefined; }) => softwareVersion === "v2",
        selected: ["v1", "v1", "v2", "v2"],
    },
] as const;
// Guards against new streams being refused at a new version while all endpoints of the one before are down.
starts.forEach(({ name, isUp, selected }) => {
    test(`stream keeper: of the new streams, ${name}`, async t => {
        const keepers = startKeepers(["a", "b"], ONE_VERSION);
        await keepers.time.runUntil(3_000);
        const { keeper } = vmAt(keepers, 0);
        keeper.addEntries(TWO_VERSIONS);
        const early = keeper.selectForNew(LM, TWO_VERSIONS, isUp);
        t.deepEqual(early.map(({ softwareVersion }) => softwareVersion), selected);
        await keepers.time.runUntil(6_000);
        t.deepEqual(keeper.selectForNew(LM, TWO_VERSIONS, isUp), TWO_VERSIONS);
    });
});

const isNewUp = ({ softwareVersion }: { readonly softwareVersion: string | undefined; }): boolean =>
    softwareVersion === "v2";
const names: readonly {
    readonly name: string;
    /** What the store names: not read since the change, could not be read, no record, or these versions. */
    readonly named: "not read" | "unreadable" | "no record" | readonly string[];
    readonly isOnlyNewUp?: boolean;
    readonly selected: readonly string[];
}[] = [
    { name: "it names both", named: ["v1", "v2"], selected: ["v1", "v1", "v2", "v2"] },
    { name: "it does not name the new one", named: ["v1"], selected: ["v1", "v1"] },
    { name: "it does not name the new one, which alone is up", named: ["v1"], isOnlyNewUp: true, selected: [] },
    { name: "it has no record", named: "no record", selected: ["v1", "v1", "v2", "v2"] },
    { name: "it was not read since the new one came", named: "not read", selected: ["v1", "v1"] },
    { name: "it was not read, and the new one alone is up", named: "not read", isOnlyNewUp: true, selected: [] },
    { name: "it cannot be read", named: "unreadable", selected: ["v1", "v1"] },
    {
        name: "it cannot be read, and the new one alone is up",
        named: "unreadable",
        isOnlyNewUp: true,
        selected: ["v1", "v1", "v2", "v2"],
    },
];
// Guards against streams at a version that the store leaves out: after all VMs have ended, they would go on at another one.
names.forEach(({ name, named, isOnlyNewUp = false, selected }) => {
    test(`stream keeper: new streams begin at versions that the store names: ${name}`, async t => {
        const keepers = startKeepers(["a", "b"], ONE_VERSION, true, true);
        await keepers.time.runUntil(3_000);
        const { keeper, state } = vmAt(keepers, 0);
        state.runs = TWO_VERSIONS;
        // Longer than it takes until streams begin at a new version.
        await keepers.time.runUntil(8_000);
        if (named === "unreadable") {
            keeper.learnNamed(undefined, 8_000);
        }
        else if (named !== "not read") {
            keeper.learnNamed(named === "no record" ? [] : [{ service: LM, versions: named }], 8_000);
        }
        const isUp = isOnlyNewUp ? isNewUp : () => true;
        t.deepEqual(
            keeper.selectForNew(LM, TWO_VERSIONS, isUp).map(({ softwareVersion }) => softwareVersion),
            selected as readonly (string | undefined)[],
        );
        t.is(keeper.lacksNames(), !(named === "no record" || named.includes("v2")));
    });
});

const records = [
    { name: "the version that serves", versions: ["v1"], decision: "continue at v1, sole-version" },
    { name: "another one, too", versions: ["v0", "v1"], decision: "origin-unknown, none" },
    { name: "another one", versions: ["v0"], decision: "origin-unknown, none" },
] as const;
// Guards against refusing all streams after a restart of all VMs, though there has been one version only.
records.forEach(({ name, versions, decision }) => {
    test(`stream keeper: after a restart of all VMs with ${name} in the store, a stream is decided ${decision}`, async t => {
        const keepers = startKeepers(["a", "b"], ONE_VERSION, false);
        keepers.vms.forEach(({ keeper }) => keeper.learnRecorded([{ service: LM, versions }]));
        await keepers.time.runUntil(200);
        t.is(await takeUp(keepers, vmAt(keepers, 0), "r1"), decision);
    });
});
