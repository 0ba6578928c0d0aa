import type { VmId } from "@azureshunt/core";
import test from "ava";
import fc from "fast-check";

import { leaseTiming } from "../../fleet/leaseTiming.js";
import { newOrderLease } from "../../fleet/newOrderLease.js";
import { orderFence } from "../../fleet/orderFence.js";
import type { OrderLease } from "../../fleet/OrderLease.js";
import type { OrderLeaseEffect } from "../../fleet/OrderLeaseEffect.js";
import type { OrderLeaseEvent } from "../../fleet/OrderLeaseEvent.js";
import { stepOrderLease } from "../../fleet/stepOrderLease.js";

const SEED = 20_261_203;
const LEASE_MS = 3_000;
const TICK_MS = 100;
/** Ticks between beacons. */
const BEACON_TICKS = 2;
const VMS = ["a", "b", "c"] as VmId[];

/** How the store handles one call: answers after a delay, executes it but loses the answer, or refuses it. */
type Fate = { readonly kind: "answered" | "lost" | "refused"; readonly delayMs: number; };
type Sent = { readonly at: number; readonly vm: VmId; readonly fence: number; };

/**
 * Runs three VMs that all want to issue orders, against one stream. `isSuspended` returns whether a VM is suspended in
 * a tick. Its clock stands still meanwhile; when it continues it detects the suspension, and receives answers that
 * arrived meanwhile afterwards.
 */
const run = (fates: readonly Fate[], isSuspended: (vm: number, tick: number) => boolean): readonly Sent[] => {
    const stream: VmId[] = [];
    const pending: { readonly at: number; readonly act: () => void; }[] = [];
    const answers: { readonly vm: number; readonly event: OrderLeaseEvent; }[] = [];
    const calls = { count: 0 };
    const sent: Sent[] = [];
    const vms = VMS.map(vm => ({ vm, lease: newOrderLease(vm) as OrderLease, lostMs: 0 }));
    const time = { tick: 0 };
    const clock = (i: number): number => time.tick * TICK_MS - (vms[i]?.lostMs ?? 0);

    const apply = (i: number, event: OrderLeaseEvent): void => {
        const vm = vms[i];
        if (vm === undefined) {
            return;
        }
        const step = stepOrderLease(vm.lease, event, LEASE_MS, clock(i));
        vm.lease = step.state;
        step.effects.forEach(effect => perform(i, effect));
    };
    const perform = (i: number, effect: OrderLeaseEffect): void => {
        const fate = fates[calls.count++ % fates.length] ?? { kind: "answered", delayMs: 0 };
        const requestedAt = clock(i);
        const schedule = (act: () => void): void => {
            pending.push({ at: time.tick * TICK_MS + fate.delayMs, act });
        };
        const answer = (event: OrderLeaseEvent): void => {
            answers.push({ vm: i, event });
        };
        if (fate.kind === "refused") {
            schedule(() => answer({ kind: "call-failed" }));
            return;
        }
        if (effect.kind === "read") {
            const records = stream.map((holder, offset) => ({ offset, holder }));
            const event: OrderLeaseEvent = { kind: "read", records, end: stream.length };
            schedule(() => answer(fate.kind === "lost" ? { kind: "call-failed" } : event));
            return;
        }
        const write = (): OrderLeaseEvent => {
            if (effect.at !== stream.length) {
                return { kind: "call-failed" };
            }
            stream.push(VMS[i] ?? VMS[0] as VmId);
            return { kind: "appended", offset: effect.at, requestedAt };
        };
        if (fate.kind === "lost") {
            // The call fails at once, and is executed later if its condition still holds then.
            schedule(() => void write());
            apply(i, { kind: "call-failed" });
            return;
        }
        schedule(() => answer(write()));
    };

    Array.from({ length: 300 }, (_, tick) => tick).forEach(tick => {
        time.tick = tick;
        pending.filter(({ at }) => at <= tick * TICK_MS).forEach(each => {
            pending.splice(pending.indexOf(each), 1);
            each.act();
        });
        vms.forEach((each, i) => {
            if (isSuspended(i, tick)) {
                each.lostMs += TICK_MS;
                return;
            }
            if (tick > 0 && isSuspended(i, tick - 1)) {
                apply(i, { kind: "suspended" });
            }
            answers.filter(({ vm }) => vm === i).forEach(each => {
                answers.splice(answers.indexOf(each), 1);
                apply(i, each.event);
            });
            vms.forEach(({ lease: { tail } }, j) => {
                if (j !== i && !isSuspended(j, tick) && tail !== undefined && tick % BEACON_TICKS === 0) {
                    const ageMs = clock(j) - tail.knownSince;
                    apply(i, { kind: "peer-record", offset: tail.offset, holder: tail.holder, ageMs });
                }
            });
            apply(i, { kind: "tick", isWanted: true, rank: i });
            const fence = orderFence(each.lease, clock(i));
            if (fence !== undefined) {
                sent.push({ at: tick * TICK_MS, vm: each.vm, fence });
            }
        });
    });
    return sent;
};

const fate = fc.record({
    kind: fc.constantFrom("answered" as const, "answered" as const, "lost" as const, "refused" as const),
    delayMs: fc.integer({ min: 0, max: 900 }),
});
const suspensionLists = fc.array(fc.record({ vm: fc.nat(2), from: fc.nat(250), length: fc.nat(80) }), { maxLength: 6 });

// Two VMs order the same engine in alternation, and it replaces new weights by old ones.
test("order lease: no two VMs issue orders in alternation, whatever the store and suspensions do", t => {
    fc.assert(
        fc.property(fc.array(fate, { minLength: 5, maxLength: 40 }), suspensionLists, (fates, suspensions) => {
            const sent = run(
                fates,
                (vm, tick) =>
                    suspensions.some(each => each.vm === vm && tick >= each.from && tick < each.from + each.length),
            );
            return sent.every((order, i) => {
                const before = sent[i - 1];
                return before === undefined
                    || (before.vm === order.vm
                        ? order.fence >= before.fence
                        : order.fence > before.fence && order.at - before.at > LEASE_MS);
            });
        }),
        { seed: SEED, numRuns: 400 },
    );
    t.pass();
});

// No VM acquires the lease, as all claim behind a record that is not the last one.
test("order lease: after a failed claim behind a record that is not the last one, a VM reads the stream", t => {
    const expired = leaseTiming.holdMs + LEASE_MS + leaseTiming.marginMs + leaseTiming.staggerMs;
    const peerRecord: OrderLeaseEvent = { kind: "peer-record", offset: 16, holder: VMS[0] as VmId, ageMs: expired };
    const tick: OrderLeaseEvent = { kind: "tick", isWanted: true, rank: 1 };
    const failed = [peerRecord, tick, { kind: "call-failed" } as const, peerRecord]
        .reduce((state, event) => stepOrderLease(state, event, LEASE_MS, 10_000).state, newOrderLease(VMS[1] as VmId));
    t.deepEqual(stepOrderLease(failed, tick, LEASE_MS, 10_100).effects, [{ kind: "read" }]);
});

// Dozens of VMs receive the first target weights at once, and all but one read and claim in vain.
test("order lease: when the first target weights are set, one of sixty VMs calls the store", t => {
    const calls = Array.from({ length: 60 }, (_, rank) => {
        const tick: OrderLeaseEvent = { kind: "tick", isWanted: true, rank };
        return stepOrderLease(newOrderLease(`vm-${rank}` as VmId), tick, LEASE_MS, 10_000).effects.length;
    });
    t.is(calls.reduce((sum, count) => sum + count, 0), 1);
});

test("order lease: while the store works, one VM holds it all the time", t => {
    const sent = run([{ kind: "answered", delayMs: 0 }], () => false);
    t.deepEqual([...new Set(sent.map(({ vm }) => vm))], [VMS[0]]);
    t.true(sent.length > 280);
});

test("order lease: when its holder is suspended for good, the next VM holds it after the lease and the margins", t => {
    const sent = run([{ kind: "answered", delayMs: 0 }], (vm, tick) => vm === 0 && tick >= 100);
    const next = sent.find(({ vm }) => vm !== VMS[0]);
    const { holdMs, marginMs, staggerMs } = leaseTiming;
    t.is(next?.vm, VMS[1]);
    t.true((next?.at ?? Infinity) <= 100 * TICK_MS + holdMs + LEASE_MS + marginMs + staggerMs + 2 * TICK_MS);
});

const CLAIMED_AT = 10_000;
/** The lease of a process that has appended records at these offsets, one after the other. */
const appendedBy = (...offsets: readonly number[]): OrderLease =>
    offsets.reduce(
        (state, offset, i) =>
            stepOrderLease(
                state,
                { kind: "appended", offset, requestedAt: CLAIMED_AT + i },
                LEASE_MS,
                CLAIMED_AT + i,
            ).state,
        newOrderLease(VMS[0] as VmId),
    );

// A process takes the unanswered orders of another one, also of an earlier one on its own VM, for its own.
const issuers = [
    { name: "before it has held the lease, never", offsets: [], since: Infinity },
    { name: "with the first record of the stream, always", offsets: [0], since: -Infinity },
    { name: "behind the record of another process, since its claim", offsets: [5], since: CLAIMED_AT },
    { name: "with renewals, since its first claim", offsets: [5, 6, 7], since: CLAIMED_AT },
    { name: "with a record in between, since its last claim", offsets: [5, 6, 8], since: CLAIMED_AT + 2 },
];

test("order lease: a process stays the only issuer of orders behind a record of its VM whose answer was lost", t => {
    const read: OrderLeaseEvent = { kind: "read", records: [{ offset: 6, holder: VMS[0] as VmId }], end: 7 };
    const claimed = stepOrderLease(appendedBy(5), read, LEASE_MS, CLAIMED_AT + 500).state;
    const renewed: OrderLeaseEvent = { kind: "appended", offset: 7, requestedAt: CLAIMED_AT + 600 };
    t.is(stepOrderLease(claimed, renewed, LEASE_MS, CLAIMED_AT + 600).state.ordersKnownSince, CLAIMED_AT);
});

issuers.forEach(({ name, offsets, since }) => {
    test(`order lease: a process is the only issuer of orders: ${name}`, t => {
        t.is(appendedBy(...offsets).ordersKnownSince, since);
    });
});
