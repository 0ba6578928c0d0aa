import type { Incarnation, VmId } from "@azureshunt/core";
import test from "ava";
import fc from "fast-check";

import { advanceShared } from "../../allowance/advanceShared.js";
import { createAllowances } from "../../allowance/createAllowances.js";
import { openSharedAllowance } from "../../allowance/openSharedAllowance.js";
import { receiveSpending } from "../../allowance/receiveSpending.js";
import { refundShared } from "../../allowance/refundShared.js";
import type { SentCounter } from "../../allowance/SentCounter.js";
import { setSharedLimits } from "../../allowance/setSharedLimits.js";
import type { SharedAllowance } from "../../allowance/SharedAllowance.js";
import { spendShared } from "../../allowance/spendShared.js";
import type { Beacon } from "../../peers/Beacon.js";
import { organisationOf } from "../support/organisationOf.js";

const SEED = 20_261_203;
const RATE = 1_000;
const BURST = 1_000;
const TICK_MS = 50;
const BEACON_TICKS = 4;
const VMS = 4;

/** The counter of a process of unknown age, unless one is given. */
const counterOf = (vm: VmId, spent: number, run = "first", upMs = Infinity): SentCounter => ({
    spender: vm,
    incarnation: run as Incarnation,
    upMs,
    spent,
});

const spend = (allowance: SharedAllowance, tokens: number): readonly [SharedAllowance, number] => {
    const spent = spendShared(allowance, tokens);
    return spent === undefined ? [allowance, 0] : [spent, tokens];
};

/** Runs VMs that receive each other's beacons, except across the cut; returns the tokens spent in each tick. */
const simulate = (demand: readonly (readonly number[])[], isCut: (tick: number) => boolean): readonly number[] => {
    const names = Array.from({ length: VMS }, (_, i) => `vm${i}` as VmId);
    const side = (i: number): number => i < VMS / 2 ? 0 : 1;
    const isReceived = (tick: number, i: number, j: number): boolean => !isCut(tick) || side(i) === side(j);
    const lastReceived = names.map(() => names.map(() => 0));
    const state = { all: names.map(() => openSharedAllowance(RATE, BURST, 0)) };
    return demand.map((wants, tick) => {
        const now = tick * TICK_MS;
        const spent = { tokens: 0 };
        state.all = state.all.map((allowance, i) => {
            const silent = names.filter((_, j) => j !== i && tick - (lastReceived[i]?.[j] ?? 0) > 3 * BEACON_TICKS);
            const ready = advanceShared(allowance, { peers: VMS - 1, silent }, now);
            const [next, tokens] = spend(ready, wants[i] ?? 0);
            spent.tokens += tokens;
            return next;
        });
        if (tick % BEACON_TICKS === 0) {
            const counters = state.all.map(({ ownSpent }) => ownSpent);
            state.all = state.all.map((allowance, i) =>
                names.reduce((received, vm, j) => {
                    if (i === j || !isReceived(tick, i, j)) {
                        return received;
                    }
                    (lastReceived[i] ?? [])[j] = tick;
                    return receiveSpending(received, counterOf(vm, counters[j] ?? 0));
                }, allowance)
            );
        }
        return spent.tokens;
    });
};

// Several VMs, cut off from each other or not, admit more than an organisation's rate and burst.
test("allowance: over any window, cut or not, all VMs together stay within rate, burst and one beacon's delay", t => {
    fc.assert(
        fc.property(
            fc.array(fc.array(fc.integer({ min: 0, max: 60 }), { minLength: VMS, maxLength: VMS }), {
                minLength: 300,
                maxLength: 300,
            }),
            fc.integer({ min: 0, max: 200 }),
            fc.integer({ min: 0, max: 100 }),
            (demand, from, length) => {
                const spent = simulate(demand, tick => tick >= from && tick < from + length);
                const window = 160;
                const delayed = (BEACON_TICKS + 1) * VMS * 60;
                const silent = 3 * BEACON_TICKS * TICK_MS / 1_000 * RATE;
                const bound = RATE * window * TICK_MS / 1_000 + BURST + delayed + 2 * silent;
                return spent.every((_, i) => spent.slice(i, i + window).reduce((a, b) => a + b, 0) <= bound);
            },
        ),
        { seed: SEED, numRuns: 60 },
    );
    t.pass();
});

// The remaining VM refuses an organisation within its rate, as VMs that are gone keep their shares.
test("allowance: a VM alone gets the whole rate once the others count as gone", t => {
    const start = openSharedAllowance(RATE, BURST, 0);
    const silent = ["b", "c", "d"] as VmId[];
    const alone = advanceShared(start, { peers: 3, silent }, 1_000);
    t.is(alone.level, RATE / 4);
    t.is(advanceShared(alone, { peers: 0, silent: [] }, 1_500).level, RATE / 4 + RATE / 2);
});

test("allowance: spending assumed during silence is not debited twice, and a refund reaches the other VMs", t => {
    const peer = "b" as VmId;
    const opened = receiveSpending(openSharedAllowance(RATE, BURST, 0), counterOf(peer, 100));
    const apart = advanceShared(opened, { peers: 1, silent: [peer] }, 1_000);
    t.is(apart.level, 500);
    t.is(receiveSpending(apart, counterOf(peer, 500)).level, 500);
    t.is(receiveSpending(apart, counterOf(peer, 700)).level, 400);
    t.is(receiveSpending(receiveSpending(apart, counterOf(peer, 700)), counterOf(peer, 650)).level, 450);
    t.is(receiveSpending(apart, counterOf(peer, 30, "second", 100)).level, 500);
});

test("allowance: a refund restores tokens and shrinks the sent counter; a lower burst applies at once", t => {
    const full = advanceShared(openSharedAllowance(RATE, BURST, 0), { peers: 0, silent: [] }, 5_000);
    const [spent] = spend(full, 400);
    t.is(spent.level, 600);
    t.is(refundShared(spent, 400).level, 1_000);
    t.is(refundShared(spent, 400).ownSpent, 0);
    t.is(setSharedLimits(full, 10, 50).level, 50);
});

// VMs that have just started refuse an organisation within its rate and burst.
test("allowance: right after a start, two large requests within rate and burst are not refused", t => {
    const silent = Array.from({ length: 6 }, (_, i) => `vm${i}` as VmId);
    const ready = advanceShared(openSharedAllowance(RATE, BURST, 0), { peers: 6, silent }, 100);
    const [after, first] = spend(ready, 50);
    const [, second] = spend(after, 50);
    t.deepEqual([first, second], [50, 50]);
});

// An organisation gets many times its burst, as all VMs may overdraw again after each restart.
test("allowance: each restart of all VMs admits at most half a burst more", t => {
    const names = Array.from({ length: VMS }, (_, i) => `vm${i}` as VmId);
    const lifeTicks = 20;
    const overdrawn = (wants: readonly number[]): number => {
        const life = names.map(() => openSharedAllowance(RATE, BURST, 0));
        const spent = { tokens: 0 };
        wants.forEach((want, tick) => {
            life.forEach((allowance, i) => {
                const silent = names.filter((_, j) => j !== i);
                const ready = advanceShared(allowance, { peers: VMS - 1, silent }, tick * TICK_MS);
                const [next, tokens] = spend(ready, want);
                life[i] = next;
                spent.tokens += tokens;
            });
        });
        return spent.tokens - RATE * wants.length * TICK_MS / 1_000;
    };
    fc.assert(
        fc.property(
            fc.array(fc.integer({ min: 0, max: 200 }), { minLength: lifeTicks, maxLength: lifeTicks }),
            wants => overdrawn(wants) <= BURST / 2 + VMS * Math.max(...wants),
        ),
        { seed: SEED, numRuns: 200 },
    );
    t.pass();
});

test("allowance: a VM that does not know the number of VMs may not overdraw", t => {
    const start = openSharedAllowance(RATE, BURST, 0);
    t.is(advanceShared(start, { peers: 0, silent: [], isPartial: true }, 0).overdraft, 0);
    t.is(advanceShared(start, { peers: 0, silent: [] }, 0).overdraft, BURST / 2);
    t.is(advanceShared(start, { peers: 3, silent: [] }, 5_000).overdraft, BURST / 16);
    t.is(advanceShared(start, { peers: 3, silent: [] }, 10_000).overdraft, 0);
});

// A restarted VM debits all that the others ever spent, and refuses organisations within their rate.
const starts = [
    { name: "beacon received at once", silentMs: 0 },
    { name: "VM listed for a while before its first beacon", silentMs: 300 },
] as const;
starts.forEach(({ name, silentMs }) => {
    test(`allowance: what another VM spent before this one started is not debited: ${name}`, t => {
        const other = "vm1" as VmId;
        const opened = openSharedAllowance(RATE, BURST, 0);
        const waited = advanceShared(opened, { peers: 1, silent: [other] }, silentMs);
        const received = receiveSpending(waited, counterOf(other, 50 * BURST));
        t.is(received.level, waited.level);
        // After the first counter, every further token is debited.
        t.is(receiveSpending(received, counterOf(other, 50 * BURST + 700)).level, received.level - 700);
    });
});

// A VM that started later is taken for one that started earlier, and its spending does not count.
const ages = [
    { name: "of a VM that has served for long", upMs: 60_000, counts: false },
    { name: "of a VM of unknown age", upMs: Infinity, counts: false },
    { name: "of a VM that started after this one", upMs: 100, counts: true },
] as const;
ages.forEach(({ name, upMs, counts }) => {
    test(`allowances: the first counter ${name} ${counts ? "is" : "is not"} debited`, t => {
        const time = { now: 0 };
        const clock = { now: () => time.now, epoch: () => time.now };
        const other = "vm1" as VmId;
        const allowances = createAllowances(
            clock,
            () => ({ peers: 1, silent: time.now < 300 ? [other] : [], propagationMs: 200 }),
            () => 0,
        );
        const organisation = organisationOf(RATE, BURST);
        allowances.open([organisation]);
        time.now = 300;
        const beacon = {
            vm: other,
            incarnation: "run-1",
            upMs,
            spent: [[organisation.id, 50 * BURST, 0]],
            relayedSpent: [],
        };
        allowances.applyBeacon(beacon as unknown as Beacon, "relay");
        t.is(allowances.spend(organisation, 1).isRight(), !counts);
    });
});

// A VM that becomes a relay debits again what relays sent it for minutes.
const silences = [
    { name: "starts again after a silence in which relays sent the spending", isSilent: false, debit: 0 },
    { name: "continues after a silence during which spending was assumed", isSilent: true, debit: 400 },
] as const;
silences.forEach(({ name, isSilent, debit }) => {
    test(`allowances: a counter ${name}`, t => {
        const peer = "vm1" as VmId;
        const liveness = (silent: readonly VmId[]) => ({ peers: 1, silent });
        const filled = advanceShared(openSharedAllowance(RATE, BURST, 0), liveness([]), 1_000);
        const received = receiveSpending(filled, counterOf(peer, 100));
        const silent = isSilent ? advanceShared(received, liveness([peer]), 1_200) : received;
        const now = 9_000;
        const after = advanceShared(silent, liveness([]), now);
        t.is(receiveSpending(after, counterOf(peer, 600), now).level, BURST - debit);
    });
});

type Sent = readonly [at: number, run: string, upMs: number, spent: number];
type RestartCase = {
    readonly name: string;
    readonly sent: readonly Sent[];
    /** When spending begins to be assumed, as the VM is silent. */
    readonly silentFrom?: number;
    readonly debit: number;
};

// The counter of a restarted VM is compared with that of its process before: an organisation gets far more than its
// rate, or is refused within it.
const restarts: readonly RestartCase[] = [
    {
        name: "a new process's counter is debited whole, however much the one before had spent",
        sent: [[1_000, "first", 60_000, 50_000], [1_500, "second", 100, 30], [1_700, "second", 300, 50]],
        debit: 50,
    },
    {
        name: "a new process that has spent as much as the one before is debited too",
        sent: [[1_000, "first", 60_000, 300], [1_500, "second", 100, 300], [1_700, "second", 300, 310]],
        debit: 310,
    },
    {
        name: "a process that started during a long silence is debited beyond what was assumed",
        sent: [[1_000, "first", 60_000, 500], [7_000, "second", 5_000, 900]],
        silentFrom: 2_000,
        debit: 900 - RATE / 2,
    },
    {
        name: "a process whose spending came in other ways is debited from its first counter on",
        sent: [[1_000, "first", 60_000, 500], [61_000, "second", 50_000, 900], [61_200, "second", 50_200, 910]],
        debit: 10,
    },
    {
        name: "a delayed counter of the process before adds what that one had not yet sent",
        sent: [
            [1_000, "first", 60_000, 50_000],
            [1_500, "second", 100, 30],
            [1_600, "first", 60_050, 50_020],
            [1_700, "second", 300, 50],
        ],
        debit: 20 + 50,
    },
    {
        name: "a delayed counter that comes first after the restart adds nothing",
        sent: [[1_500, "second", 100, 30], [1_600, "first", 60_050, 50_020], [1_700, "second", 300, 50]],
        debit: 50,
    },
    {
        name: "a counter delayed until the process before is forgotten adds nothing",
        sent: [[1_000, "first", 60_000, 500], [9_000, "second", 100, 30], [9_100, "first", 60_050, 520]],
        debit: 30,
    },
];
restarts.forEach(({ name, sent, silentFrom, debit }) => {
    test(`allowance: ${name}`, t => {
        const peer = "vm1" as VmId;
        const opened = openSharedAllowance(RATE, BURST, 0);
        const received = sent.reduce((allowance, [at, run, upMs, spent]) => {
            const silent = silentFrom !== undefined && at > silentFrom
                // One second of silence, at half the rate.
                ? advanceShared({ ...allowance, at: silentFrom }, { peers: 1, silent: [peer] }, silentFrom + 1_000)
                : allowance;
            return receiveSpending({ ...silent, level: allowance.level }, counterOf(peer, spent, run, upMs), at);
        }, opened);
        t.is(received.level, -debit);
    });
});

test("allowance: the counters of earlier processes of a VM do not accumulate", t => {
    const peer = "vm1" as VmId;
    const received = Array.from({ length: 100 }, (_, i) => i).reduce(
        (allowance, i) => receiveSpending(allowance, counterOf(peer, 10, `run-${i}`, 100), i * 1_000),
        openSharedAllowance(RATE, BURST, 0),
    );
    t.true((received.peers.get(peer)?.counters.size ?? 0) <= 5);
});
