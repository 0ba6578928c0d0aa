import type { Incarnation, ServiceName, VmId } from "@azureshunt/core";
import { createMetrics } from "@azureshunt/telemetry";
import test from "ava";

import { createRollouts } from "../../rollout/createRollouts.js";
import { silentLogger } from "../support/silentLogger.js";

const row = {
    service: "desk" as ServiceName,
    id: 4,
    version: "v2",
    durationMs: 20_000,
    ageMs: 15_000,
    phase: "canary" as const,
    statedMs: 100,
};

const orders = [
    { name: "the store first", sources: ["store", "peer"] },
    { name: "a peer first", sources: ["peer", "store"] },
    { name: "beacons that lay unread while it did not run", sources: ["earlier beacon", "peer"] },
    { name: "beacons in another order", sources: ["peer", "earlier beacon"] },
] as const;

// A VM that starts again, or did not run, reads an order as if it were new; as the leader, it ends the rollout after its
// deadline.
orders.forEach(({ name, sources }) => {
    test(`rollout age: a VM that starts again during a rollout knows how long ago it was ordered: from ${name}`, t => {
        const time = { now: 1_000 };
        const rollouts = createRollouts({
            clock: { now: () => time.now, epoch: () => time.now },
            vm: "vm" as VmId,
            incarnation: "run" as Incarnation,
            random: () => 0,
            store: { newest: () => Promise.reject(new Error()), put: () => Promise.reject(new Error()) },
            wire: {
                statusTopic: "status",
                encodeRolloutStatus: () => ({ key: "", value: Buffer.alloc(0) }),
                decodeRolloutStatus: () => undefined,
            },
            exposure: () => 0.1,
            isLeader: () => false,
            endpointsOf: () => [],
            report: () => undefined,
            sendSoon: () => undefined,
            logger: silentLogger,
            metrics: createMetrics(),
        });
        const read = (): void => {
            const { id, service, version, durationMs } = row;
            rollouts.order({ id, service, version, durationMs, learnedAt: time.now });
        };
        const receive = (ageMs: number): void => void rollouts.receiveRows([{ ...row, ageMs }], time.now);
        const steps = {
            store: read,
            peer: () => receive(row.ageMs),
            "earlier beacon": () => receive(row.ageMs - 5_000),
        };
        sources.forEach(source => steps[source]());
        t.is(rollouts.rows()[0]?.ageMs, row.ageMs);
    });
});
