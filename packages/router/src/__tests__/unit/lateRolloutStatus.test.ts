import type { Incarnation, ServiceName, VmId } from "@azureshunt/core";
import { createMetrics } from "@azureshunt/telemetry";
import test from "ava";
import { Left, Right } from "purify-ts";

import type { RouteName } from "../../configuration/RouteName.js";
import type { StorePort } from "../../ports/StorePort.js";
import type { EndpointEntry } from "../../registry/EndpointEntry.js";
import { createRollouts } from "../../rollout/createRollouts.js";
import type { RolloutState } from "../../rollout/RolloutState.js";
import { entryOf } from "../support/entryOf.js";
import { silentLogger } from "../support/silentLogger.js";

const service = "desk" as ServiceName;
const older = entryOf("old", { softwareVersion: "v1" });
const newer = entryOf("new", { softwareVersion: "v2" });
const TICK_MS = 100;
const DURATION_MS = 6_000;
/** Longer than a leader looks for the status of an end. */
const AFTER_MS = 12_000;

const settle = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

/** What becomes of a write: it is carried out and answered, or its answer is lost and it is carried out now or late. */
type Fate = "answered" | "carried out unanswered" | "carried out late";
type Write = { readonly key: string; readonly text: string; readonly at: number | undefined; };

/** A store as the platform's protocol describes it: a call without an answer may be carried out seconds later if its condition still holds. */
function createStore(fates: readonly Fate[]) {
    const records: { readonly key: string; readonly text: string; }[] = [];
    const late: Write[] = [];
    const calls = { newest: 0, put: 0 };
    const carryOut = ({ key, text, at }: Write): boolean => {
        const isApplied = at === undefined || at === records.length;
        if (isApplied) {
            records.push({ key, text });
        }
        return isApplied;
    };
    const port: Pick<StorePort, "newest" | "put"> = {
        newest: () => {
            calls.newest += 1;
            const newest = new Map(
                records.map(({ key, text }, offset) => [key, { key, value: Buffer.from(text), offset }]),
            );
            return Promise.resolve(Right({ records: [...newest.values()], end: records.length }));
        },
        put: (_topic, key, value, at) => {
            const write = { key, text: value.toString(), at };
            const fate = fates[calls.put] ?? "answered";
            calls.put += 1;
            if (fate === "carried out late") {
                late.push(write);
                return Promise.resolve(Left({ kind: "lost" as const }));
            }
            const isApplied = carryOut(write);
            return Promise.resolve(
                fate === "carried out unanswered"
                    ? Left({ kind: "lost" as const })
                    : isApplied
                    ? Right(records.length - 1)
                    : Left({ kind: "moved" as const }),
            );
        },
    };
    return {
        port,
        calls,
        carryOutLate: () => void late.splice(0).forEach(carryOut),
        write: (key: string, text: string) => void carryOut({ key, text, at: undefined }),
        statusOf: (key: string) => records.findLast(record => record.key === key)?.text,
        statuses: () => records.filter(({ key }) => key === service).map(({ text }) => text),
    };
}

type Fleet = { now: number; leader: string; };

function startVm(vm: string, fleet: Fleet, store: ReturnType<typeof createStore>, endpoints: readonly EndpointEntry[]) {
    return createRollouts({
        clock: { now: () => fleet.now, epoch: () => fleet.now },
        vm: vm as VmId,
        incarnation: `run-${vm}` as Incarnation,
        random: () => 0,
        store: store.port,
        wire: {
            statusTopic: "status",
            encodeRolloutStatus: each => ({ key: each.service, value: Buffer.from(each.state) }),
            decodeRolloutStatus: (key, value) => ({
                service: key as ServiceName,
                version: "v2",
                state: value.toString() as RolloutState,
            }),
        },
        exposure: () => 0.1,
        isLeader: () => fleet.leader === vm,
        endpointsOf: () => endpoints,
        report: () => undefined,
        sendSoon: () => undefined,
        logger: silentLogger,
        metrics: createMetrics(),
    });
}
type Vm = ReturnType<typeof startVm>;

const tickUntil = async (end: number, fleet: Fleet, vms: readonly Vm[], isHeard: boolean): Promise<void> => {
    while (fleet.now < end) {
        fleet.now += TICK_MS;
        vms.forEach(vm => vm.tick());
        await settle();
        if (isHeard) {
            vms.forEach(vm => vms.forEach(other => vm === other ? false : other.receiveRows(vm.rows(), fleet.now)));
        }
    }
};
const orderTo = (name: ServiceName, id: number) => ({
    id,
    service: name,
    version: "v2",
    durationMs: DURATION_MS,
    learnedAt: 0,
});

const ends = [
    { end: "rolled-back", why: "no endpoint of the version comes up", endpoints: [older] },
    { end: "completed", why: "no endpoint of another version is left", endpoints: [newer] },
    { end: "completed", why: "the version is good", endpoints: [older, newer] },
] as const;
const losses: readonly {
    readonly name: string;
    readonly fates: readonly Fate[];
    readonly puts: number;
    readonly reads: number;
}[] = [
    { name: "no write is lost", fates: [], puts: 2, reads: 1 },
    { name: "the first write is carried out late", fates: ["carried out late"], puts: 3, reads: 1 },
    {
        name: "the first writes are carried out late",
        fates: ["carried out late", "carried out late", "carried out late"],
        puts: 5,
        reads: 1,
    },
    { name: "the first write is carried out, its answer lost", fates: ["carried out unanswered"], puts: 3, reads: 2 },
    {
        name: "the write of the end is carried out, its answer lost",
        fates: ["answered", "carried out unanswered"],
        puts: 3,
        reads: 2,
    },
    { name: "the write of the end is carried out late", fates: ["answered", "carried out late"], puts: 3, reads: 1 },
];
// The store may carry out a write seconds after it was given up; an earlier status then replaces that of the end for good,
// and operators, and VMs that start again, take the rollout for running.
ends.forEach(({ end, why, endpoints }) => {
    losses.forEach(({ name, fates, puts, reads }) => {
        test(`rollout status: ${end}, as ${why}; ${name}: it stays the status`, async t => {
            const store = createStore(fates);
            const fleet = { now: 0, leader: "vm" };
            const vm = startVm("vm", fleet, store, endpoints);
            vm.order(orderTo(service, 4));
            await tickUntil(DURATION_MS, fleet, [vm], false);
            t.is(store.statusOf(service), end);
            store.carryOutLate();
            await tickUntil(DURATION_MS + AFTER_MS, fleet, [vm], false);
            t.is(store.statusOf(service), end);
            t.true(store.calls.put <= puts && store.calls.newest <= reads, JSON.stringify(store.calls));
        });
    });
});

// Writing "completed" stops the old endpoints, so a write of an earlier leader must not follow the end that VMs go by.
const takeovers = [
    { name: "before the next leader writes", isAfterEnd: false, statuses: ["running", "completed", "rolled-back"] },
    { name: "after the next leader has written", isAfterEnd: true, statuses: ["running", "rolled-back"] },
] as const;
takeovers.forEach(({ name, isAfterEnd, statuses }) => {
    test(`rollout status: "completed" of an earlier leader, carried out ${name}, does not stay above "rolled-back"`, async t => {
        const store = createStore(["answered", "carried out late"]);
        const fleet = { now: 0, leader: "vm-1" };
        const [first, next] = ["vm-1", "vm-2"].map(vm => startVm(vm, fleet, store, [older, newer])) as [Vm, Vm];
        first.order(orderTo(service, 4));
        // The write of "completed" is given up, and its VM is gone before it tries again.
        while (store.calls.put < 2 && fleet.now < DURATION_MS) {
            await tickUntil(fleet.now + TICK_MS, fleet, [first, next], true);
        }
        t.is(next.rows()[0]?.phase, "switching");
        fleet.leader = "vm-2";
        const tried = { route: "r" as RouteName, outcome: "answered" as const, slowness: 1 };
        Array.from({ length: 40 }, () => next.recordTry(newer, { ...tried, status: 500 }));
        Array.from({ length: 400 }, () => next.recordTry(older, { ...tried, status: 200 }));
        if (!isAfterEnd) {
            // The next leader reads the status, and finds the version bad; then the late write comes before its own.
            next.tick();
            await settle();
            store.carryOutLate();
        }
        await tickUntil(fleet.now + 1_000, fleet, [next], true);
        t.is(store.statusOf(service), "rolled-back");
        store.carryOutLate();
        await tickUntil(fleet.now + AFTER_MS, fleet, [next], true);
        t.deepEqual(store.statuses(), statuses);
        t.is(next.rows()[0]?.phase, "rolled-back");
    });
});

// A write that is refused as another service's status came first must not be given up.
test("rollout status: rollouts of several services at the same time all get their status, with few calls more", async t => {
    const store = createStore([]);
    const fleet = { now: 0, leader: "vm" };
    const vm = startVm("vm", fleet, store, [older]);
    const services = ["s1", "s2", "s3", "s4"].map(name => name as ServiceName);
    services.forEach((name, i) => vm.order(orderTo(name, i)));
    store.write("other", "running");
    await tickUntil(DURATION_MS, fleet, [vm], false);
    t.deepEqual(services.map(store.statusOf), services.map(() => "rolled-back"));
    t.true(store.calls.put + store.calls.newest <= 50, JSON.stringify(store.calls));
});
