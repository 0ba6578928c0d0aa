import type { Incarnation, ServiceName, VmId } from "@azureshunt/core";
import { createMetrics } from "@azureshunt/telemetry";
import test from "ava";
import { Right } from "purify-ts";

import type { RouteName } from "../../configuration/RouteName.js";
import { applyReport } from "../../rollout/applyReport.js";
import type { CountsReport } from "../../rollout/CountsReport.js";
import { createRollouts } from "../../rollout/createRollouts.js";
import { initialVmCounts } from "../../rollout/initialVmCounts.js";
import { sumCounts } from "../../rollout/sumCounts.js";
import type { VmCounts } from "../../rollout/VmCounts.js";
import { entryOf } from "../support/entryOf.js";
import { silentLogger } from "../support/silentLogger.js";

const service = "desk" as ServiceName;
const older = entryOf("old", { softwareVersion: "v1" });
const newer = entryOf("new", { softwareVersion: "v2" });
const order = { id: 4, service, version: "v2", durationMs: 60_000, learnedAt: 0 };

const totalOf = ({ ended, byProcess }: VmCounts) => sumCounts([ended, ...byProcess.values()].flat());

const settle = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

// The counts of a restarted VM begin at 0; taken for good answers that are no more, they take back a good version.
const builds = [
    { name: "a VM", sent: (report: CountsReport): CountsReport => report },
    {
        name: "a VM of an earlier build",
        sent: (report: CountsReport): CountsReport => ({ ...report, incarnation: undefined }),
    },
];
builds.forEach(({ name, sent }) => {
    test(`restarted reporter: ${name} that starts again during a rollout does not take a good version back`, async t => {
        const time = { now: 0 };
        const start = (vm: string, run: string, isLeader: boolean, report: (report: CountsReport) => void) => {
            const rollouts = createRollouts({
                clock: { now: () => time.now, epoch: () => time.now },
                vm: vm as VmId,
                incarnation: run as Incarnation,
                random: () => 0,
                store: {
                    newest: () => Promise.resolve(Right({ records: [], end: 0 })),
                    put: () => Promise.resolve(Right(1)),
                },
                wire: {
                    statusTopic: "status",
                    encodeRolloutStatus: () => ({ key: "", value: Buffer.alloc(0) }),
                    decodeRolloutStatus: () => undefined,
                },
                exposure: () => 0.1,
                isLeader: () => isLeader,
                endpointsOf: () => [older, newer],
                report,
                sendSoon: () => undefined,
                logger: silentLogger,
                metrics: createMetrics(),
            });
            rollouts.order(order);
            return rollouts;
        };
        const leader = start("vm-1", "run-1", true, () => undefined);
        const tickAll = async (other: ReturnType<typeof start>): Promise<void> => {
            time.now += 1_000;
            other.tick();
            leader.tick();
            await settle();
            leader.tick();
            await settle();
        };
        const answer = (other: ReturnType<typeof start>, news: number, olds: number): void => {
            const tried = { route: "r" as RouteName, outcome: "answered" as const, status: 200, slowness: 1 };
            Array.from({ length: news }, () => other.recordTry(newer, tried));
            Array.from({ length: olds }, () => other.recordTry(older, tried));
        };

        const receive = (report: CountsReport): void => leader.receiveReport(sent(report));
        const first = start("vm-2", "run-2", false, receive);
        await tickAll(first);
        answer(first, 100, 900);
        await tickAll(first);
        t.is(leader.rows()[0]?.phase, "canary");

        const restarted = start("vm-2", "run-3", false, receive);
        answer(restarted, 1, 9);
        await tickAll(restarted);
        t.is(leader.rows()[0]?.phase, "canary", "each answer of the new version was good");
    });
});

const rowOf = (newAnswers: number, newBad: number, route = "r") => ({
    route: route as RouteName,
    newAnswers,
    newBad,
    oldAnswers: newAnswers * 10,
    oldBad: 0,
});
type Sent = { readonly run?: string; readonly rows: readonly ReturnType<typeof rowOf>[]; };
// A sum that falls takes answers back; one that counts a report twice condemns a version by the same answers again.
const sequences: readonly { readonly name: string; readonly sent: readonly Sent[]; readonly total: Sent["rows"]; }[] = [
    {
        name: "one process, totals that grow",
        sent: [{ run: "a", rows: [rowOf(3, 1)] }, { run: "a", rows: [rowOf(8, 2)] }],
        total: [rowOf(8, 2)],
    },
    {
        name: "one process, a report that was overtaken",
        sent: [
            { run: "a", rows: [rowOf(3, 1)] },
            { run: "a", rows: [rowOf(8, 2), rowOf(1, 0, "s")] },
            { run: "a", rows: [rowOf(3, 1)] },
            { run: "a", rows: [rowOf(9, 2), rowOf(1, 0, "s")] },
        ],
        total: [rowOf(9, 2), rowOf(1, 0, "s")],
    },
    {
        name: "a new process that has counted less",
        sent: [{ run: "a", rows: [rowOf(8, 2)] }, { run: "b", rows: [rowOf(3, 1)] }],
        total: [rowOf(11, 3)],
    },
    {
        name: "a new process that has counted more",
        sent: [{ run: "a", rows: [rowOf(3, 1)] }, { run: "b", rows: [rowOf(8, 2)] }],
        total: [rowOf(11, 3)],
    },
    {
        name: "a new process without answers on a route",
        sent: [{ run: "a", rows: [rowOf(3, 1), rowOf(4, 0, "s")] }, { run: "b", rows: [rowOf(8, 2)] }],
        total: [rowOf(11, 3), rowOf(4, 0, "s")],
    },
    {
        name: "a report of the ended process after one of the new one",
        sent: [
            { run: "a", rows: [rowOf(3, 1)] },
            { run: "b", rows: [rowOf(1, 0)] },
            { run: "a", rows: [rowOf(5, 1)] },
            { run: "b", rows: [rowOf(2, 0)] },
        ],
        total: [rowOf(7, 1)],
    },
    {
        name: "more processes than are kept apart",
        sent: ["a", "b", "c", "d", "e", "f", "g"].map(run => ({ run, rows: [rowOf(2, 1)] })),
        total: [rowOf(14, 7)],
    },
    {
        name: "no incarnation, totals that grow",
        sent: [{ rows: [rowOf(3, 1)] }, { rows: [rowOf(8, 2)] }],
        total: [rowOf(8, 2)],
    },
    {
        name: "no incarnation, totals that shrink",
        sent: [{ rows: [rowOf(8, 2)] }, { rows: [rowOf(3, 1)] }, { rows: [rowOf(4, 1)] }],
        total: [rowOf(12, 3)],
    },
    {
        name: "no incarnation, a route that is missing",
        sent: [{ rows: [rowOf(3, 1), rowOf(4, 0, "s")] }, { rows: [rowOf(8, 2)] }],
        total: [rowOf(11, 3), rowOf(4, 0, "s")],
    },
    {
        name: "an update from an earlier build",
        sent: [{ rows: [rowOf(8, 2)] }, { run: "b", rows: [rowOf(3, 1)] }, { run: "b", rows: [rowOf(9, 1)] }],
        total: [rowOf(17, 3)],
    },
];
sequences.forEach(({ name, sent, total }) => {
    test(`restarted reporter: sum of reports: ${name}`, t => {
        const counts = sent.reduce(
            (before, { run, rows }) => applyReport(before, { incarnation: run as Incarnation | undefined, rows }),
            initialVmCounts,
        );
        const inOrder = (rows: Sent["rows"]) => [...rows].sort((a, b) => a.route.localeCompare(b.route));
        t.deepEqual(inOrder(totalOf(counts)), inOrder(total));
    });
});

// A VM that keeps crashing must not fill the leader's memory.
test("restarted reporter: a VM that starts again and again is kept in bounded memory, and each answer counts", t => {
    const counts = Array.from({ length: 1_000 }, (_, i) => `run-${i}` as Incarnation).reduce(
        (before, incarnation) => applyReport(before, { incarnation, rows: [rowOf(1, 0)] }),
        initialVmCounts,
    );
    t.deepEqual(totalOf(counts), [rowOf(1_000, 0)]);
    t.true(counts.byProcess.size + counts.ended.length < 10);
});
