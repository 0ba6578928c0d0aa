import type { Incarnation, ServiceName, VmId } from "@azureshunt/core";
import { createMetrics } from "@azureshunt/telemetry";
import test from "ava";
import { Left, Right } from "purify-ts";
import type { Either } from "purify-ts";

import type { RouteName } from "../../configuration/RouteName.js";
import type { StoreFailure } from "../../ports/StoreFailure.js";
import type { StorePort } from "../../ports/StorePort.js";
import type { EndpointEntry } from "../../registry/EndpointEntry.js";
import { createRollouts } from "../../rollout/createRollouts.js";
import { entryOf } from "../support/entryOf.js";
import { silentLogger } from "../support/silentLogger.js";

const service = "desk" as ServiceName;
const older = entryOf("old", { softwareVersion: "v1" });
const newer = entryOf("new", { softwareVersion: "v2" });

const settle = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

const writes: readonly { readonly name: string; readonly put: StorePort["put"]; }[] = [
    { name: "is not answered yet", put: () => new Promise(() => undefined) },
    { name: "has failed and is due again later", put: () => Promise.resolve(Left({ kind: "unreachable" })) },
];
const start = (put: StorePort["put"], endpoints: readonly EndpointEntry[]) => {
    const time = { now: 0 };
    const rollouts = createRollouts({
        clock: { now: () => time.now, epoch: () => time.now },
        vm: "vm" as VmId,
        incarnation: "run-1" as Incarnation,
        random: () => 0,
        store: { newest: () => Promise.resolve(Right({ records: [], end: 0 })), put },
        wire: {
            statusTopic: "status",
            encodeRolloutStatus: ({ state }) => ({ key: service, value: Buffer.from(state) }),
            decodeRolloutStatus: () => undefined,
        },
        exposure: () => 0.1,
        isLeader: () => true,
        endpointsOf: () => endpoints,
        report: () => undefined,
        sendSoon: () => undefined,
        logger: silentLogger,
        metrics: createMetrics(),
    });
    rollouts.order({ id: 4, service, version: "v2", durationMs: 60_000, learnedAt: 0 });
    const tick = async (): Promise<void> => {
        time.now += 100;
        rollouts.tick();
        await settle();
    };
    const answerBadly = (): void => {
        const tried = { route: "r" as RouteName, outcome: "answered" as const, slowness: 1 };
        Array.from({ length: 200 }, () => rollouts.recordTry(older, { ...tried, status: 200 }));
        Array.from({ length: 20 }, () => rollouts.recordTry(newer, { ...tried, status: 500 }));
    };
    return { phase: () => rollouts.rows()[0]?.phase, tick, answerBadly };
};

// A leader that waits for the store leaves callers to a version whose failures it could see.
writes.forEach(({ name, put }) => {
    test(`rollout and silent store: while a write of the status ${name}, a bad version is taken back at once`, async t => {
        const { phase, tick, answerBadly } = start(put, [older, newer]);
        await tick();
        await tick();
        t.is(phase(), "canary");
        answerBadly();
        await tick();
        t.is(phase(), "rolled-back");
    });
});

// The old endpoints stop as soon as operators read "completed"; taken back after that, a service has no endpoint left.
test("rollout and silent store: while the store may have taken \"completed\", the version is not taken back", async t => {
    const put = {
        answer: undefined as ((written: Either<StoreFailure, number>) => void) | undefined,
        statuses: [] as string[],
    };
    const { phase, tick, answerBadly } = start((_topic, _key, value) => {
        put.statuses.push(value.toString());
        return new Promise(resolve => {
            put.answer = resolve;
        });
    }, [newer]);
    await tick();
    await tick();
    answerBadly();
    await tick();
    put.answer?.(Right(1));
    await settle();
    t.is(phase(), "completed");
    t.deepEqual(put.statuses, ["completed"]);
});
