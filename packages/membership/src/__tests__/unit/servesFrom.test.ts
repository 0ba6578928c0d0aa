import { FailureDomain, Incarnation, OrganisationId, VmId } from "@azureshunt/core";
import test from "ava";

import { homeOf } from "../../homeOf.js";
import type { Membership } from "../../Membership.js";
import type { MembershipEvent } from "../../MembershipEvent.js";
import type { MembershipRecord } from "../../MembershipRecord.js";
import { openMembership } from "../../openMembership.js";
import { servesFrom } from "../../servesFrom.js";
import { stepMembership } from "../../stepMembership.js";
import { vouchedAge } from "../../vouchedAge.js";

const KEEP_MS = 1_500;
const NORTH = FailureDomain.parse("north");

const record = (kind: MembershipRecord["kind"], vm: string, run: number): MembershipRecord => ({
    kind,
    vm: VmId.parse(vm),
    run: Incarnation.parse(`${vm}-${run}`),
    failureDomain: NORTH,
    peer: "",
    admin: "",
});
const SELF = record("join", "vm-1", 1);
/** An organisation whose home is vm-1 among vm-1 and vm-2, and one whose home is vm-2. */
const [MINE, OTHERS] = ["vm-1", "vm-2"].map(vm =>
    Array.from({ length: 100 }, (_, i) => OrganisationId.parse(`org-${i}`))
        .find(id => homeOf([SELF, record("join", "vm-2", 1)], id, NORTH) === vm)!
) as [OrganisationId, OrganisationId];

const read = (from: number, ...records: readonly MembershipRecord[]): MembershipEvent => ({
    kind: "read",
    from,
    next: from + records.length,
    atEnd: true,
    records: records.map((data, i) => ({ offset: from + i, record: data })),
});
const after = (start: Membership, ...events: readonly (readonly [number, MembershipEvent])[]): Membership =>
    events.reduce((membership, [at, event]) => stepMembership(membership, event, at).state, start);
const opened = openMembership(SELF, KEEP_MS, 0);
const alone = after(opened, [10, read(0, SELF)]);
const settled = after(alone, [20, read(1, record("join", "vm-2", 1))]);

test("membership: the very first VM of a failure domain serves at once", t => {
    t.is(servesFrom(alone, MINE, 10), -Infinity);
});

// A VM joins beside one that serves. Both would be home of the same organisation until the other hands over.
test("membership: a VM serves only after the earlier ones have handed over", t => {
    const joined = after(opened, [10, read(0, record("join", "vm-2", 1), SELF)]);
    t.is(servesFrom(joined, MINE, 20), undefined);
    const handed = after(joined, [30, { kind: "handed-over", from: VmId.parse("vm-2"), ageMs: 5 }]);
    t.is(servesFrom(handed, MINE, 30), 25);
    t.is(servesFrom(handed, OTHERS, 30), undefined);
});

// A daemon crashes and is back within a second. Other VMs still spend under the grants of its former run.
test("membership: a restarted VM waits until its former run's grants have run out", t => {
    const restarted = after(opened, [10, read(0, record("join", "vm-1", 0), SELF)]);
    t.is(servesFrom(restarted, MINE, KEEP_MS - 1), undefined);
    t.is(servesFrom(restarted, MINE, KEEP_MS), KEEP_MS);
});

[
    { name: "dropped from the list", kind: "drop" as const },
    { name: "gone without handing over", kind: "leave" as const },
].forEach(({ name, kind }) =>
    // A VM dies; its grants may be spent for as long as they live.
    test(`membership: the next home waits out the grants of a VM that was ${name}`, t => {
        const gone = after(settled, [100, read(2, record(kind, "vm-2", 1))]);
        t.is(servesFrom(gone, OTHERS, 100 + KEEP_MS - 1), undefined);
        t.is(servesFrom(gone, OTHERS, 100 + KEEP_MS), 100 + KEEP_MS);
        t.is(servesFrom(gone, MINE, 101), -Infinity);
    })
);

// A VM stops gracefully and hands over: nothing is to be waited for.
test("membership: a VM that left and handed over is followed at once", t => {
    const gone = after(
        settled,
        [100, read(2, record("leave", "vm-2", 1))],
        [110, { kind: "handed-over", from: VmId.parse("vm-2"), ageMs: 60 }],
    );
    t.is(servesFrom(gone, OTHERS, 110), 50);
});

// A VM is paused for minutes, dropped and replaced meanwhile, and wakes up holding itself for home.
test("membership: after a pause a VM serves only when log and list have confirmed it", t => {
    const list: MembershipEvent = {
        kind: "listed",
        vms: [{ vm: SELF.vm, failureDomain: NORTH, state: "live", peer: "", admin: "" }],
    };
    const woken = after(alone, [100, { kind: "tick" }], [60_100, { kind: "tick" }]);
    t.is(servesFrom(woken, MINE, 60_100), undefined);
    t.is(servesFrom(after(woken, [60_110, list]), MINE, 60_110), undefined);
    t.is(servesFrom(after(woken, [60_110, list], [60_120, read(1)]), MINE, 60_120), -Infinity);
    const dropped = after(woken, [60_110, list], [60_120, read(1, record("drop", "vm-1", 1))]);
    t.is(servesFrom(dropped, MINE, 60_120), undefined);
});

// The platform is down: nothing is read, and the members stay as they were.
test("membership: without list and log the members stay", t => {
    const later = after(settled, [100, { kind: "tick" }], [200, { kind: "tick" }], [300, { kind: "tick" }]);
    t.deepEqual([...later.members.keys()], [...settled.members.keys()]);
    t.is(servesFrom(later, MINE, 300), -Infinity);
});

test("membership: a VM that has not settled vouches for nothing of before", t => {
    t.true(vouchedAge(opened, 100) < 0);
    t.is(vouchedAge(settled, 100), Infinity);
});
