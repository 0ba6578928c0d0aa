import type { EndpointName, Millis, ModelName, VmId } from "@azureshunt/core";
import test from "ava";
import type { Either } from "purify-ts";
import { Left, Right } from "purify-ts";

import { createLeaseKeeper } from "../../fleet/createLeaseKeeper.js";
import { createUnansweredOrders } from "../../fleet/createUnansweredOrders.js";
import { decodeLeaseRecord } from "../../fleet/decodeLeaseRecord.js";
import { encodeLeaseRecord } from "../../fleet/encodeLeaseRecord.js";
import type { EngineStart } from "../../fleet/EngineStart.js";
import type { LeaseStatement } from "../../fleet/LeaseStatement.js";
import type { StoreFailure } from "../../ports/StoreFailure.js";
import type { StorePort } from "../../ports/StorePort.js";
import { silentLogger } from "../support/silentLogger.js";

const MODEL = "model" as ModelName;
const START = 10_000;
const start = (name: string): EngineStart => ({ endpoint: name as EndpointName, bornAt: 1 });
const settle = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

/** A keeper whose store answers appends when told to, and the records that it appended. */
const keeperOver = (stored: readonly Buffer[]) => {
    const time = { now: START };
    const clock = { now: () => time.now, epoch: () => time.now };
    const view = { orderable: [] as readonly EngineStart[] };
    const records = [...stored];
    const calls: { resolve: (result: Either<StoreFailure, number>) => void; readonly at: number; }[] = [];
    const store = {
        read: (_topic: string, from: number) =>
            Promise.resolve(Right({
                records: records.map((value, offset) => ({ offset, key: "", value })).slice(from),
                end: records.length,
            })),
        appendAt: (_topic: string, at: number, value: Buffer) => {
            records[at] = value;
            return new Promise(resolve => void calls.push({ at, resolve }));
        },
    } as unknown as StorePort;
    const unanswered = createUnansweredOrders(clock);
    const learned: (readonly [ModelName, number, Millis])[] = [];
    const keeper = createLeaseKeeper({
        clock,
        vm: "vm" as VmId,
        store,
        logger: silentLogger,
        checkSuspension: () => undefined,
        leaseMs: () => 3_000,
        orderable: () => view.orderable,
        unanswered,
        targets: () => [[MODEL, 2, 50]],
        onTargets: (rows, writtenBefore) =>
            rows.forEach(([model, version, ageMs = 0]) => learned.push([model, version, writtenBefore - ageMs])),
        onAppended: () => undefined,
    });
    const tick = async (isRenewalDue = false): Promise<void> => {
        keeper.apply({ kind: "tick", isWanted: true, rank: 0, isRenewalDue });
        await settle();
    };
    const answer = async (isLost = false): Promise<void> => {
        const call = calls.shift();
        call?.resolve(isLost ? Left({ kind: "lost" }) : Right(call.at));
        await settle();
    };
    const newest = (): LeaseStatement | undefined => decodeLeaseRecord(records.at(-1)).stated;
    return { time, view, keeper, learned, tick, answer, newest };
};

/** Claims the lease with engine `a` stated. */
const claim = async (stored: readonly Buffer[] = []) => {
    const kept = keeperOver(stored);
    kept.view.orderable = [start("a")];
    await kept.tick();
    // The process waits for the last holder's claim to run out.
    kept.time.now += 10_000;
    await kept.tick();
    return kept;
};

// An order that no record states is unknown to the process that takes the lease over.
const steps: readonly {
    readonly name: string;
    readonly run: (kept: Awaited<ReturnType<typeof claim>>) => Promise<void>;
    readonly orderable: readonly string[];
}[] = [
    { name: "none before the first record is appended", run: async () => undefined, orderable: [] },
    { name: "those that the appended record states", run: kept => kept.answer(), orderable: ["a"] },
    {
        name: "not one that has started since",
        run: async kept => {
            await kept.answer();
            kept.view.orderable = [start("a"), start("b")];
            await kept.tick();
        },
        orderable: ["a"],
    },
    {
        name: "one that has started since, once a renewal states it",
        run: async kept => {
            await kept.answer();
            kept.view.orderable = [start("a"), start("b")];
            await kept.tick(true);
            await kept.answer();
        },
        orderable: ["a", "b"],
    },
    {
        name: "only what both records state while a renewal is in progress",
        run: async kept => {
            await kept.answer();
            kept.view.orderable = [start("b")];
            await kept.tick(true);
        },
        orderable: [],
    },
    {
        name: "only what both records state once the answer to a renewal is lost",
        run: async kept => {
            await kept.answer();
            kept.view.orderable = [start("b")];
            await kept.tick(true);
            await kept.answer(true);
        },
        orderable: [],
    },
];

steps.forEach(({ name, run, orderable }) => {
    test(`stated orders: a holder orders ${name}`, async t => {
        const kept = await claim();
        await run(kept);
        t.deepEqual(["a", "b"].filter(each => kept.keeper.mayOrder(start(each))), orderable);
    });
});

const last: LeaseStatement = {
    orderable: [start("x")],
    unanswered: [{ ...start("y"), ordersTaken: 4, ageMs: 100 }],
    targets: [[MODEL, 3, 6_000], [MODEL, 2, 9_000]],
};
const holder = "other" as VmId;

// After two takeovers in a row, the orders of the first holder are forgotten.
const takeovers: readonly {
    readonly name: string;
    readonly stored: readonly Buffer[];
    readonly stated: readonly (readonly [string, number | undefined])[] | undefined;
}[] = [
    { name: "the first record of all states its own", stored: [], stated: [] },
    {
        name: "that of a process which takes over states those of the record before",
        stored: [encodeLeaseRecord({ holder, stated: last })],
        stated: [["x", undefined], ["y", 4]],
    },
    {
        name: "none while those of an earlier version's holder are unknown",
        stored: [Buffer.from(holder)],
        stated: undefined,
    },
];

takeovers.forEach(({ name, stored, stated }) => {
    test(`stated orders: the record of a new holder: ${name}`, async t => {
        const kept = await claim(stored);
        await kept.answer();
        t.deepEqual(
            kept.newest()?.unanswered.map(order => [order.endpoint as string, order.ordersTaken] as const),
            stated,
        );
        t.true(kept.keeper.mayOrder(start("a")));
    });
});

test("stated orders: the records of a holder state all orders once those of an earlier version's holder are over", async t => {
    const kept = await claim([Buffer.from(holder)]);
    await kept.answer();
    kept.time.now += 13_000;
    await kept.tick();
    await kept.answer();
    t.deepEqual(kept.newest(), { orderable: [start("a")], unanswered: [], targets: [[MODEL, 2, 50]] });
});

// If all VMs start again, no peer tells since when target weights are set, and engines serve on replaced ones for longer.
test("stated orders: a process that takes over learns since when target weights are set", async t => {
    const kept = await claim([encodeLeaseRecord({ holder, stated: last })]);
    t.deepEqual(kept.learned, [[MODEL, 3, START - 6_000], [MODEL, 2, START - 9_000]]);
});
