import type { VmId } from "@azureshunt/core";
import test from "ava";
import fc from "fast-check";

import { leaseTiming } from "../../fleet/leaseTiming.js";
import { simulateLease } from "../support/simulateLease.js";

type Run = Parameters<typeof simulateLease>[0];
type Sent = Awaited<ReturnType<typeof simulateLease>>["sent"];
type Disturbance = Run["disturbances"][number];
type Kind = Disturbance["kind"];

const SEED = 20_261_203;
const LEASE_MS = 3_000;
const STEP_MS = 25;
const VMS = ["a", "b", "c"] as VmId[];
/** Until then, calls fail and VMs are disturbed. */
const CALM_FROM_MS = 30_000;
/** Time after which no call from before has an effect any more. */
const LATEST_EFFECT_MS = 6_000;
const MAX_DISTURBANCE_MS = 12_000;
const CALL_TIMEOUT_MS = 900;
const TICK_MS = 100;
/** Longest time for which a VM that may hold the lease waits for the last holder that it knows. */
const CLAIM_MS = leaseTiming.holdMs + LEASE_MS + leaseTiming.marginMs + 3 * leaseTiming.staggerMs;
/**
 * Time after which some VM holds the lease if the store answers. A VM may have to wait twice: if the holder ended
 * before it sent its last record to any peer, only the refused claim behind the record before shows that there is one.
 */
const TAKEOVER_MS = 2 * CLAIM_MS + CALL_TIMEOUT_MS + 5 * TICK_MS;
const DURATION_MS = CALM_FROM_MS + LATEST_EFFECT_MS + TAKEOVER_MS + TICK_MS;
/** Longer than a record has an effect on the lease. */
const MIN_KEEP_MS = 8_000;

const quiet: Run = {
    durationMs: TAKEOVER_MS + TICK_MS,
    fates: [],
    calmFrom: 0,
    disturbances: [],
    beaconDelays: [50],
    ranks: [0, 1, 2],
    keepMs: Infinity,
    records: [],
};

const fate = fc.oneof(
    { weight: 5, arbitrary: fc.constant({ answer: "given" as const, effectMs: 10, answerMs: 10, lagMs: 0 }) },
    {
        weight: 4,
        arbitrary: fc.record({
            answer: fc.constantFrom("given" as const, "silent" as const, "reset" as const, "refused" as const),
            effectMs: fc.option(fc.nat(LATEST_EFFECT_MS), { nil: undefined, freq: 8 }),
            answerMs: fc.nat(1_200),
            lagMs: fc.nat(2_000),
        }),
    },
    {
        weight: 3,
        arbitrary: fc.record({
            answer: fc.constantFrom("given" as const, "silent" as const),
            effectMs: fc.nat(800),
            answerMs: fc.nat(200),
            lagMs: fc.nat(200),
        }),
    },
);
const steps = (maxMs: number): fc.Arbitrary<number> => fc.nat(maxMs / STEP_MS).map(count => count * STEP_MS);
const disturbance = (kinds: readonly Kind[]): fc.Arbitrary<Disturbance> =>
    fc.record({
        kind: fc.constantFrom(...kinds),
        vm: fc.option(fc.nat(2), { nil: undefined, freq: 2 }),
        at: steps(CALM_FROM_MS - MAX_DISTURBANCE_MS),
        forMs: steps(MAX_DISTURBANCE_MS),
    });
/** The end of a VM's process for good. */
const end: fc.Arbitrary<Disturbance> = fc.record({
    kind: fc.constant("killed" as const),
    vm: fc.nat(2),
    at: steps(CALM_FROM_MS),
    forMs: fc.constant(DURATION_MS),
});

/**
 * Runs in which the store fails and the VMs are disturbed in these ways. If they are long enough, then all is calm, with
 * one VM at least.
 */
const runs = (durationMs: number, kinds: readonly Kind[], keepMs: fc.Arbitrary<number>): fc.Arbitrary<Run> =>
    fc.record({
        durationMs: fc.constant(durationMs),
        fates: fc.array(fate, { minLength: 5, maxLength: 40 }),
        calmFrom: fc.constant(CALM_FROM_MS),
        disturbances: fc.tuple(
            fc.array(disturbance(kinds), { maxLength: 12 }),
            fc.array(end, { maxLength: VMS.length - 1 }),
        ).map(lists => lists.flat()),
        beaconDelays: fc.array(fc.option(fc.nat(900), { nil: undefined }), { minLength: 1, maxLength: 20 }),
        ranks: fc.array(fc.nat(2), { minLength: 3, maxLength: 3 }),
        keepMs,
        records: fc.constant([]),
    });

const DISTURBANCES: readonly Kind[] = ["killed", "suspended", "stopped", "cut", "refused", "idle"];
/** More of those in which a holder doesn't notice that another VM takes the lease over. */
const HALTS: readonly Kind[] = ["suspended", "suspended", "suspended", "refused"];
const keepTimes = fc.option(fc.integer({ min: MIN_KEEP_MS, max: 20_000 }), { nil: Infinity });

const areFencesMonotonic = (sent: Sent): boolean =>
    VMS.every(vm => {
        const fences = sent.filter(each => each.vm === vm).map(({ fence }) => fence);
        return fences.every((fence, i) => fence >= (fences[i - 1] ?? -1));
    });
const takeTurnsTooSoon = (sent: Sent): boolean =>
    sent.some((order, i) => {
        const before = sent[i - 1];
        return before !== undefined && before.vm !== order.vm && order.at - before.at <= LEASE_MS;
    });
const shareFence = (sent: Sent): boolean =>
    VMS.some(vm => {
        const own = new Set(sent.filter(each => each.vm === vm).map(({ fence }) => fence));
        return sent.some(each => each.vm !== vm && own.has(each.fence));
    });
/** Whether some VM holds the lease within the stated time from `from` on. */
const isTakenFrom = (sent: Sent, from: number): boolean =>
    sent.some(({ at }) => at >= from && at <= from + TAKEOVER_MS);

// An engine that doesn't check fences takes an order with a lower one after an order with a higher one.
test("lease keeper: the fences of one VM's orders never go back, whatever the store, suspensions and restarts do", t =>
    fc.assert(
        fc.asyncProperty(
            runs(CALM_FROM_MS, DISTURBANCES, keepTimes),
            async run => areFencesMonotonic((await simulateLease(run)).sent),
        ),
        { seed: SEED, numRuns: 80 },
    ).then(() => t.pass()));

// Two VMs order the same engine in alternation, and it replaces new weights by old ones.
test("lease keeper: no two VMs take turns within the lease time or share a fence, also with a replaced process", t =>
    fc.assert(
        fc.asyncProperty(runs(CALM_FROM_MS, [...DISTURBANCES, ...HALTS, "replaced"], keepTimes), async run => {
            const { sent } = await simulateLease(run);
            return !takeTurnsTooSoon(sent) && !shareFence(sent);
        }),
        { seed: SEED, numRuns: 300 },
    ).then(() => t.pass()));

// After trouble with the store no VM issues orders any more.
test("lease keeper: once the store answers, a VM holds the lease within the stated time, if no record has expired", t =>
    fc.assert(
        fc.asyncProperty(
            runs(DURATION_MS, [...DISTURBANCES, "replaced"], fc.constant(Infinity)),
            async run => isTakenFrom((await simulateLease(run)).sent, CALM_FROM_MS + LATEST_EFFECT_MS),
        ),
        { seed: SEED, numRuns: 50 },
    ).then(() => t.pass()));

/** Twelve records of a VM that is gone, two seconds apart; the last is ten seconds old at the start. */
const oldRecords = Array.from({ length: 12 }, (_, i) => ({ holder: "z" as VmId, storedAt: -32_000 + i * 2_000 }));

const expiries = [
    { name: "no record has expired", keepMs: Infinity },
    { name: "no record has expired, and a page holds five of them", keepMs: Infinity, pageRecords: 5 },
    { name: "all records have expired", keepMs: 9_000 },
];

// VMs that start after a long pause never get the lease.
expiries.forEach(({ name, ...parts }) => {
    test(`lease keeper: VMs that have read nothing get the lease in the stated time when ${name}`, async t => {
        const { sent } = await simulateLease({ ...quiet, ...parts, records: oldRecords });
        t.true(isTakenFrom(sent, 0));
        t.is(sent[0]?.fence, oldRecords.length);
    });
});

// A VM whose own record ends the first page claims at once, while the VM that wrote the last one still issues orders.
test("lease keeper: a VM that held the lease before others waits for the last holder, which a later page names", async t => {
    const records = oldRecords.map(({ storedAt }, i) => ({
        holder: i < 5 ? VMS[0] as VmId : "z" as VmId,
        storedAt: storedAt + 9_900,
    }));
    const { sent } = await simulateLease({ ...quiet, records, pageRecords: 5 });
    t.true(isTakenFrom(sent, 0));
    t.true((sent[0]?.at ?? 0) > LEASE_MS);
});

// The VM claims behind the oldest retained record, is refused, and reads again until the last record has expired.
test("lease keeper: VMs that have read nothing get the lease in the stated time when older records have expired", async t => {
    const { sent } = await simulateLease({ ...quiet, keepMs: 26_000, records: oldRecords });
    t.true(isTakenFrom(sent, 0));
});

// The same, for a VM that knows a record from before the oldest retained one.
test("lease keeper: a VM that knows only an expired record gets the lease when the VMs that wrote later ones ended", async t => {
    const endedAt = 41_000;
    const { sent } = await simulateLease({
        ...quiet,
        durationMs: endedAt + TAKEOVER_MS + TICK_MS,
        keepMs: 20_000,
        disturbances: [
            { kind: "idle", vm: 0, at: 1_000, forMs: endedAt - 1_000 },
            { kind: "cut", vm: 0, at: 1_000, forMs: endedAt - 1_000 },
            { kind: "killed", vm: 1, at: endedAt, forMs: Infinity },
            { kind: "killed", vm: 2, at: endedAt, forMs: Infinity },
        ],
    });
    t.true(sent.some(({ at, vm }) => at > endedAt && vm === VMS[0]));
});
