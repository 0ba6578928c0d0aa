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
/** Ticks between what the VMs tell each other. */
const VOUCH_TICKS = 2;
const VMS = ["a", "b", "c"] as VmId[];

/** How the store treats one call: answers after a delay, or does the work and loses the answer, or refuses. */
type Fate = { readonly kind: "answered" | "lost" | "refused"; readonly delayMs: number; };
type Sent = { readonly at: number; readonly vm: VmId; readonly fence: number; };

/**
 * Runs three VMs that all want to give orders, against one stream. `away` says which VM is stopped in a tick; its clock
 * stands still meanwhile, it learns of the pause when it goes on, and answers that came meanwhile reach it after that.
 */
const run = (fates: readonly Fate[], away: (vm: number, tick: number) => boolean): readonly Sent[] => {
    const stream: VmId[] = [];
    const pending: { readonly at: number; readonly act: () => void; }[] = [];
    const answers: { readonly vm: number; readonly event: OrderLeaseEvent; }[] = [];
    const calls = { count: 0 };
    const sent: Sent[] = [];
    const vms = VMS.map(vm => ({ vm, lease: newOrderLease(vm) as OrderLease, lostMs: 0 }));
    const time = { tick: 0 };
    const clock = (i: number): number => time.tick * TICK_MS - (vms[i]?.lostMs ?? 0);

    const tell = (i: number, event: OrderLeaseEvent): void => {
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
        const askedAt = clock(i);
        const later = (act: () => void): void => {
            pending.push({ at: time.tick * TICK_MS + fate.delayMs, act });
        };
        const answer = (event: OrderLeaseEvent): void => {
            answers.push({ vm: i, event });
        };
        if (fate.kind === "refused") {
            later(() => answer({ kind: "unsure" }));
            return;
        }
        if (effect.kind === "read") {
            const records = stream.map((holder, offset) => ({ offset, holder }));
            const event: OrderLeaseEvent = { kind: "read", records, end: stream.length };
            later(() => answer(fate.kind === "lost" ? { kind: "unsure" } : event));
            return;
        }
        const write = (): OrderLeaseEvent => {
            if (effect.at !== stream.length) {
                return { kind: "unsure" };
            }
            stream.push(VMS[i] ?? VMS[0] as VmId);
            return { kind: "appended", offset: effect.at, askedAt };
        };
        if (fate.kind === "lost") {
            // Given up at once, and carried out later if the condition still holds then.
            later(() => void write());
            tell(i, { kind: "unsure" });
            return;
        }
        later(() => answer(write()));
    };

    Array.from({ length: 300 }, (_, tick) => tick).forEach(tick => {
        time.tick = tick;
        pending.filter(({ at }) => at <= tick * TICK_MS).forEach(each => {
            pending.splice(pending.indexOf(each), 1);
            each.act();
        });
        vms.forEach((each, i) => {
            if (away(i, tick)) {
                each.lostMs += TICK_MS;
                return;
            }
            if (tick > 0 && away(i, tick - 1)) {
                tell(i, { kind: "paused" });
            }
            answers.filter(({ vm }) => vm === i).forEach(each => {
                answers.splice(answers.indexOf(each), 1);
                tell(i, each.event);
            });
            vms.forEach(({ lease: { tail } }, j) => {
                if (j !== i && !away(j, tick) && tail !== undefined && tick % VOUCH_TICKS === 0) {
                    const ageMs = clock(j) - tail.knownSince;
                    tell(i, { kind: "vouched", offset: tail.offset, holder: tail.holder, ageMs });
                }
            });
            tell(i, { kind: "tick", isWanted: true, rank: i });
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
const stops = fc.array(fc.record({ vm: fc.nat(2), from: fc.nat(250), length: fc.nat(80) }), { maxLength: 6 });

// Two VMs order the same engine by turns, and it loads old weights over new ones.
test("order lease: no two VMs give orders by turns, whatever the store and pauses do", t => {
    fc.assert(
        fc.property(fc.array(fate, { minLength: 5, maxLength: 40 }), stops, (fates, away) => {
            const sent = run(
                fates,
                (vm, tick) => away.some(stop => stop.vm === vm && tick >= stop.from && tick < stop.from + stop.length),
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

// No VM gets the lease, as all claim behind a record that is not the last.
test("order lease: another VM gets it though all are told of a record that is not the last", t => {
    const lapsed = leaseTiming.holdMs + LEASE_MS + leaseTiming.marginMs + leaseTiming.staggerMs;
    const told: OrderLeaseEvent = { kind: "vouched", offset: 16, holder: VMS[0] as VmId, ageMs: lapsed };
    const tick: OrderLeaseEvent = { kind: "tick", isWanted: true, rank: 1 };
    const failed = [told, tick, { kind: "unsure" } as const, told]
        .reduce((state, event) => stepOrderLease(state, event, LEASE_MS, 10_000).state, newOrderLease(VMS[1] as VmId));
    t.deepEqual(stepOrderLease(failed, tick, LEASE_MS, 10_100).effects, [{ kind: "read" }]);
});

// Dozens of VMs learn of the first weights at once, and all but one read and claim in vain.
test("order lease: when the first weights are named, one of sixty VMs asks the store", t => {
    const asking = Array.from({ length: 60 }, (_, rank) => {
        const tick: OrderLeaseEvent = { kind: "tick", isWanted: true, rank };
        return stepOrderLease(newOrderLease(`vm-${rank}` as VmId), tick, LEASE_MS, 10_000).effects.length;
    });
    t.is(asking.reduce((sum, count) => sum + count, 0), 1);
});

test("order lease: with a sound store one VM holds it all the time", t => {
    const sent = run([{ kind: "answered", delayMs: 0 }], () => false);
    t.deepEqual([...new Set(sent.map(({ vm }) => vm))], [VMS[0]]);
    t.true(sent.length > 280);
});

test("order lease: when its holder is stopped for good, the next one has it after the lease and the margins", t => {
    const sent = run([{ kind: "answered", delayMs: 0 }], (vm, tick) => vm === 0 && tick >= 100);
    const next = sent.find(({ vm }) => vm !== VMS[0]);
    const { holdMs, marginMs, staggerMs } = leaseTiming;
    t.is(next?.vm, VMS[1]);
    t.true((next?.at ?? Infinity) <= 100 * TICK_MS + holdMs + LEASE_MS + marginMs + staggerMs + 2 * TICK_MS);
});
