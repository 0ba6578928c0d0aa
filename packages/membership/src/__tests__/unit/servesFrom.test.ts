import { FailureDomain, Incarnation, OrganisationId, VmId } from "@azureshunt/core";
import test from "ava";

import { confirmedAge } from "../../confirmedAge.js";
import { homeOf } from "../../homeOf.js";
import type { Membership } from "../../Membership.js";
import type { MembershipEvent } from "../../MembershipEvent.js";
import type { MembershipRecord } from "../../MembershipRecord.js";
import { openMembership } from "../../openMembership.js";
import { servesFrom } from "../../servesFrom.js";
import { stepMembership } from "../../stepMembership.js";

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
/** One organisation whose home is vm-1 and one whose home is vm-2, with both VMs as members. */
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
const withPeer = after(alone, [20, read(1, record("join", "vm-2", 1))]);

test("membership: the first VM of a failure domain serves at once", t => {
    t.is(servesFrom(alone, MINE, 10), -Infinity);
});

// A VM joins while another serves. Until the other hands over, both would be home of the same organisation.
test("membership: a VM serves only after the earlier ones have handed over", t => {
    const joined = after(opened, [10, read(0, record("join", "vm-2", 1), SELF)]);
    t.is(servesFrom(joined, MINE, 20), undefined);
    const taken = after(joined, [30, { kind: "handed-over", from: VmId.parse("vm-2"), ageMs: 5 }]);
    t.is(servesFrom(taken, MINE, 30), 25);
    t.is(servesFrom(taken, OTHERS, 30), undefined);
});

// A daemon crashes and is restarted within a second. Other VMs still spend grants of its former incarnation.
test("membership: a restarted VM waits until the grants of its former incarnation have expired", t => {
    const restarted = after(opened, [10, read(0, record("join", "vm-1", 0), SELF)]);
    t.is(servesFrom(restarted, MINE, KEEP_MS - 1), undefined);
    t.is(servesFrom(restarted, MINE, KEEP_MS), KEEP_MS);
});

[
    { name: "dropped from the list", kind: "drop" as const },
    { name: "gone without handing over", kind: "leave" as const },
].forEach(({ name, kind }) =>
    // A VM dies, and its grants may still be spent until they expire.
    test(`membership: the next home waits until the grants of a VM have expired that was ${name}`, t => {
        const departed = after(withPeer, [100, read(2, record(kind, "vm-2", 1))]);
        t.is(servesFrom(departed, OTHERS, 100 + KEEP_MS - 1), undefined);
        t.is(servesFrom(departed, OTHERS, 100 + KEEP_MS), 100 + KEEP_MS);
        t.is(servesFrom(departed, MINE, 101), -Infinity);
    })
);

// A VM stops gracefully and hands over, so there is nothing to wait for.
test("membership: the next home serves at once after a VM has left and handed over", t => {
    const departed = after(
        withPeer,
        [100, read(2, record("leave", "vm-2", 1))],
        [110, { kind: "handed-over", from: VmId.parse("vm-2"), ageMs: 60 }],
    );
    t.is(servesFrom(departed, OTHERS, 110), 50);
});

// A VM is suspended for a minute, dropped and replaced meanwhile, and still acts as home when it resumes.
test("membership: after a suspension a VM serves only once log and list have confirmed its membership", t => {
    const list: MembershipEvent = {
        kind: "listed",
        vms: [{ vm: SELF.vm, failureDomain: NORTH, state: "live", peer: "", admin: "" }],
    };
    const resumed = after(alone, [100, { kind: "tick" }], [60_100, { kind: "tick" }]);
    t.is(servesFrom(resumed, MINE, 60_100), undefined);
    t.is(servesFrom(after(resumed, [60_110, list]), MINE, 60_110), undefined);
    t.is(servesFrom(after(resumed, [60_110, list], [60_120, read(1)]), MINE, 60_120), -Infinity);
    const dropped = after(resumed, [60_110, list], [60_120, read(1, record("drop", "vm-1", 1))]);
    t.is(servesFrom(dropped, MINE, 60_120), undefined);
});

// A daemon stops. If it joined again, it would be a member that does not run, and the home of organisations.
[
    { name: "before it has joined", start: opened, appended: [] },
    { name: "as its join is not read yet", start: after(opened, [10, read(0)]), appended: ["leave"] },
    { name: "as a member", start: after(opened, [10, read(0)], [20, read(0, SELF)]), appended: ["leave"] },
].forEach(({ name, start, appended }) =>
    test(`membership: a VM that leaves ${name} does not join again`, t => {
        const left = { ...SELF, kind: "leave" as const };
        const events: readonly MembershipEvent[] = [{ kind: "leave" }, read(0, SELF), read(1, left), { kind: "tick" }];
        const state = { membership: start };
        const effects = events.flatMap(event => {
            const step = stepMembership(state.membership, event, 60_000);
            state.membership = step.state;
            return step.effects;
        });
        t.deepEqual(effects.flatMap(effect => effect.kind === "append" ? [effect.record.kind] : []), appended);
    })
);

// The platform is unavailable: nothing can be read, and the known members remain.
test("membership: while list and log are unavailable the members remain", t => {
    const later = after(withPeer, [100, { kind: "tick" }], [200, { kind: "tick" }], [300, { kind: "tick" }]);
    t.deepEqual([...later.members.keys()], [...withPeer.members.keys()]);
    t.is(servesFrom(later, MINE, 300), -Infinity);
});

test("membership: a VM that waits for hand-overs or grants does not confirm earlier accrual", t => {
    t.true(confirmedAge(opened, 100) < 0);
    t.is(confirmedAge(withPeer, 100), Infinity);
});
