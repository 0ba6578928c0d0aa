import type { Incarnation, ServiceName, VmId } from "@azureshunt/core";
import { createMetrics } from "@azureshunt/telemetry";
import test from "ava";

import type { RouteName } from "../../configuration/RouteName.js";
import type { EndpointEntry } from "../../registry/EndpointEntry.js";
import { createAnswerCounts } from "../../rollout/createAnswerCounts.js";
import { createRollouts } from "../../rollout/createRollouts.js";
import { initialJudgement } from "../../rollout/initialJudgement.js";
import { isInTrial } from "../../rollout/isInTrial.js";
import { judgeVersion } from "../../rollout/judgeVersion.js";
import { learnPhase } from "../../rollout/learnPhase.js";
import { planRollout } from "../../rollout/planRollout.js";
import type { RolloutPhase } from "../../rollout/RolloutPhase.js";
import type { RolloutView } from "../../rollout/RolloutView.js";
import { selectByVersion } from "../../rollout/selectByVersion.js";
import { versionChoice } from "../../rollout/versionChoice.js";
import { entryOf } from "../support/entryOf.js";
import { seededRandom } from "../support/seededRandom.js";
import { silentLogger } from "../support/silentLogger.js";
import { simulateRollout } from "../support/simulateRollout.js";

const route = "r" as RouteName;
const viewOf = (phase: RolloutPhase | undefined, statedAt: number): RolloutView => ({
    order: { id: 1, service: "desk" as ServiceName, version: "v2", durationMs: 10_000, learnedAt: 0 },
    phase,
    statedAt,
});

const NOW = 100_000;
// A VM that is cut off does not learn that a version was taken back, and would go on sending requests to it.
const choices = [
    { name: "no phase is known", phase: undefined, ageMs: 0, isCanary: true, choice: "old" },
    { name: "a request of the trial", phase: "canary", ageMs: 500, isCanary: true, choice: "canary" },
    { name: "another request during the trial", phase: "canary", ageMs: 500, isCanary: false, choice: "old" },
    { name: "the leader is silent during the trial", phase: "canary", ageMs: 3_000, isCanary: true, choice: "old" },
    { name: "switching", phase: "switching", ageMs: 500, isCanary: false, choice: "new" },
    { name: "the leader is silent while switching", phase: "switching", ageMs: 3_000, isCanary: true, choice: "old" },
    { name: "completed long ago", phase: "completed", ageMs: 90_000, isCanary: false, choice: "new" },
    { name: "taken back long ago", phase: "rolled-back", ageMs: 90_000, isCanary: true, choice: "only-old" },
] as const;
choices.forEach(({ name, phase, ageMs, isCanary, choice }) => {
    test(`rollout: version for a request: ${name}: ${choice}`, t => {
        t.is(versionChoice(viewOf(phase, NOW - ageMs), isCanary, NOW), choice);
    });
});

const older = ["a", "b"].map(name => entryOf(name, { softwareVersion: "v1" }));
const newer = ["c", "d", "e"].map(name => entryOf(name, { softwareVersion: "v2" }));
const selections = [
    { choice: "new", among: [...older, ...newer], selected: "cde" },
    { choice: "new", among: older, selected: "ab" },
    { choice: "canary", among: [...older, ...newer], selected: "c" },
    { choice: "canary", among: older, selected: "ab" },
    { choice: "old", among: [...newer, ...older], selected: "ab" },
    { choice: "old", among: newer, selected: "cde" },
    { choice: "only-old", among: newer, selected: "" },
] as const;
selections.forEach(({ choice, among, selected }) => {
    test(`rollout: endpoints for ${choice} among ${among.map(({ name }) => name).join("")}: ${selected}`, t => {
        t.is(selectByVersion(among, "v2", choice, 0.08).map(({ name }) => name).join(""), selected);
    });
});

// Guards against requests that are refused for a limited new version, or sent to one on trial for a limited old one.
const limitedSelections = [
    { choice: "new", full: "cde", selected: "ab" },
    { choice: "new", full: "cd", selected: "e" },
    { choice: "canary", full: "c", selected: "ab" },
    { choice: "old", full: "ab", selected: "ab" },
    { choice: "only-old", full: "ab", selected: "ab" },
] as const;
limitedSelections.forEach(({ choice, full, selected }) => {
    test(`rollout: endpoints for ${choice} while ${full} have no room: ${selected}`, t => {
        const hasRoom = ({ name }: { readonly name: string; }): boolean => !full.includes(name);
        const names = selectByVersion([...older, ...newer], "v2", choice, 0.08, hasRoom).map(({ name }) => name);
        t.is(names.join(""), selected);
    });
});

// A statement that was delayed on its way must not undo a newer one.
const learned = [
    { before: "canary", statement: "canary", phase: "canary", statedAt: 20 },
    { before: "canary", statement: "rolled-back", phase: "rolled-back", statedAt: 20 },
    { before: "rolled-back", statement: "canary", phase: "rolled-back", statedAt: 10 },
    { before: "rolled-back", statement: "completed", phase: "rolled-back", statedAt: 10 },
    { before: "completed", statement: "switching", phase: "completed", statedAt: 10 },
    { before: undefined, statement: "switching", phase: "switching", statedAt: 20 },
] as const;
learned.forEach(({ before, statement, phase, statedAt }) => {
    test(`rollout: ${before ?? "nothing"}, then the statement ${statement}: ${phase}`, t => {
        const view = learnPhase(viewOf(before, 10), statement, 20);
        t.is(view.phase, phase);
        t.is(view.statedAt, statedAt);
    });
});

// Spread over all endpoints and all the time, a trial would load none of them as much as later.
test("rollout: in the trial, pulses load some endpoints fully, and it keeps to its share", t => {
    const random = seededRandom(3);
    const taken = Array.from(
        { length: 40_000 },
        (_, epochMs) => isInTrial({ share: 0.08, newEndpoints: 4, epochMs, draw: random() }),
    );
    const shareOf = (part: readonly boolean[]): number => part.filter(Boolean).length / part.length;
    t.true(Math.abs(shareOf(taken) - 0.08) < 0.005, `${shareOf(taken)}`);
    t.true(Math.abs(shareOf(taken.slice(0, 1_200)) - 0.25) < 0.05, `${shareOf(taken.slice(0, 1_200))}`);
    t.is(shareOf(taken.slice(1_300, 3_900)), 0);
    t.false(isInTrial({ share: 0.08, newEndpoints: 0, epochMs: 0, draw: 0 }));
});

const PLAN = {
    phase: "canary",
    ageMs: 1_000,
    durationMs: 10_000,
    phaseMs: 900,
    isBad: false,
    hasNew: true,
    hasOld: true,
};
const plans: readonly { readonly name: string; readonly change: object; readonly phase: RolloutPhase; }[] = [
    { name: "the trial goes on", change: {}, phase: "canary" },
    { name: "it begins", change: { phase: undefined, ageMs: 0 }, phase: "canary" },
    { name: "the version is bad", change: { isBad: true }, phase: "rolled-back" },
    {
        name: "the version turns out bad while switching",
        change: { phase: "switching", isBad: true },
        phase: "rolled-back",
    },
    { name: "the trial has lasted its share of the duration", change: { ageMs: 6_000 }, phase: "switching" },
    {
        name: "the old endpoints still finish",
        change: { phase: "switching", ageMs: 6_500, phaseMs: 500 },
        phase: "switching",
    },
    {
        name: "the old endpoints have finished",
        change: { phase: "switching", ageMs: 7_600, phaseMs: 1_600 },
        phase: "completed",
    },
    {
        name: "a late leader has no time left",
        change: { phase: "switching", ageMs: 9_300, phaseMs: 100 },
        phase: "completed",
    },
    { name: "the version does not come up yet", change: { hasNew: false }, phase: "canary" },
    { name: "the version never comes up", change: { hasNew: false, ageMs: 8_000 }, phase: "rolled-back" },
    { name: "there are no old endpoints", change: { hasOld: false }, phase: "completed" },
    { name: "it has been taken back", change: { phase: "rolled-back", ageMs: 9_999 }, phase: "rolled-back" },
];
plans.forEach(({ name, change, phase }) => {
    test(`rollout: next phase when ${name}: ${phase}`, t => {
        t.is(planRollout({ ...PLAN, ...change } as Parameters<typeof planRollout>[0]).phase, phase);
    });
});

const countsOf = (
    newAnswers: number,
    newBad: number,
    oldAnswers: number,
    oldBad: number,
) => [{ route, newAnswers, newBad, oldAnswers, oldBad }];
const judgements = [
    { name: "as many failures as the old version", reports: [countsOf(100, 14, 900, 126)], isBad: false },
    { name: "failures from the start", reports: [countsOf(12, 5, 100, 2)], isBad: true },
    {
        name: "failures after many good answers",
        reports: [countsOf(200, 4, 900, 18), countsOf(212, 10, 980, 19)],
        isBad: true,
    },
    { name: "single failures", reports: [countsOf(40, 1, 300, 0), countsOf(80, 2, 600, 0)], isBad: false },
    { name: "no answer at all", reports: [countsOf(0, 0, 100, 2)], isBad: false },
] as const;
judgements.forEach(({ name, reports, isBad }) => {
    test(`rollout: judged by ${name}: ${isBad ? "bad" : "not bad"}`, t => {
        t.is(reports.reduce(judgeVersion, initialJudgement).badRoute !== undefined, isBad);
    });
});

test("rollout: slow answers are bad, measured by what the old version takes; crashes and refusals are not counted", t => {
    const counts = createAnswerCounts();
    const base = { route, outcome: "answered" as const, status: 200 };
    Array.from({ length: 20 }, () => counts.record({ ...base, isNew: false, slowness: 2 }));
    counts.record({ ...base, isNew: true, slowness: 5 });
    counts.record({ ...base, isNew: true, slowness: 7 });
    counts.record({ ...base, isNew: true, slowness: 2, status: 500 });
    counts.record({ ...base, isNew: true, outcome: "broken", slowness: undefined, status: undefined });
    counts.record({ ...base, isNew: true, outcome: "refused", slowness: undefined, status: 503 });
    t.deepEqual(counts.rows(), countsOf(3, 2, 20, 0));
});

// A good version is taken back, as answers of a few milliseconds vary by more than the factor of slow ones.
test("rollout: answers within the estimate are not bad, however fast the old version answers", t => {
    const counts = createAnswerCounts();
    const base = { route, outcome: "answered" as const, status: 200 };
    Array.from({ length: 30 }, () => counts.record({ ...base, isNew: false, slowness: 0.1 }));
    Array.from({ length: 6 }, () => counts.record({ ...base, isNew: true, slowness: 0.4 }));
    counts.record({ ...base, isNew: true, slowness: 1.2 });
    t.deepEqual(counts.rows(), countsOf(7, 1, 30, 0));
});

/** Creates the rollouts of a VM that does not lead, at a time. */
const rolloutsAt = (now: number): ReturnType<typeof createRollouts> =>
    createRollouts({
        clock: { now: () => now, epoch: () => now },
        vm: "vm" as VmId,
        incarnation: "run-1" as Incarnation,
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
const statement = { service: "desk" as ServiceName, id: 1, version: "v2", durationMs: 9_000, ageMs: 0, statedMs: 0 };
const namesOf = (entries: readonly EndpointEntry[] | undefined): string | undefined =>
    entries?.map(({ name }) => name).join("");

// A beacon with a field that is no number is dropped whole, with all else that it says.
test("rollout: a statement of unknown age is sent on with a finite one, and does not count as fresh", t => {
    const rollouts = rolloutsAt(500);
    t.true(rollouts.receiveRows([{ ...statement, phase: "canary" }], -Infinity));
    t.true(rollouts.rows().every(({ statedMs }) => Number.isFinite(statedMs)));
    t.is(namesOf(rollouts.selectorFor(statement.service, true)?.([...older, ...newer])), "ab");
});

const continuations = [
    { name: "without a rollout, all endpoints do", phase: undefined, ageMs: undefined, endpoints: "abcde" },
    { name: "in the trial, all endpoints do", phase: "canary", ageMs: 0, endpoints: "abcde" },
    { name: "while the service moves, all endpoints do", phase: "switching", ageMs: 0, endpoints: "abcde" },
    { name: "once it is completed, all endpoints do", phase: "completed", ageMs: 60_000, endpoints: "abcde" },
    { name: "once it was taken back, those of the old version do", phase: "rolled-back", ageMs: 0, endpoints: "ab" },
    {
        name: "if it may have been taken back, those of the old version do",
        phase: "canary",
        ageMs: 9_000,
        endpoints: "ab",
    },
] as const;

// Guards against streams being cut off by a rollout, and against streams that go on at a version that was taken back.
continuations.forEach(({ name, phase, ageMs, endpoints }) => {
    test(`rollout: of the endpoints that continue streams, ${name}`, t => {
        const rollouts = rolloutsAt(100_000);
        if (phase !== undefined) {
            rollouts.receiveRows([{ ...statement, phase }], 100_000 - ageMs);
        }
        t.is(namesOf(rollouts.continuableAt(statement.service, [...older, ...newer])), endpoints);
    });
});

const BEHAVIOURS = [
    "good",
    "fails",
    "fails-later",
    "fails-under-load",
    "fails-on-one-route",
    "slow",
    "absent",
] as const;
const FAULTS = [
    "none",
    "leader-killed",
    "leader-frozen",
    "vm-cut",
    "others-restarted",
    "store-away",
    "writes-late",
    "endpoint-crashes",
] as const;
const SEEDS = Array.from({ length: 5 }, (_, i) => i + 1);
const EXPOSURE_SHARE = 0.1;
const EXPOSURE_SLACK = 50;
const LOADS = [{ durationMs: 20_000, arrivalMs: 10 }];

// A bad version that reaches many callers, or a good one that is not in place in time.
BEHAVIOURS.forEach(behaviour => {
    FAULTS.forEach(fault => {
        test(`rollout, simulated: version ${behaviour}, ${fault}`, async t => {
            for (const seed of SEEDS) {
                for (const load of LOADS) {
                    const result = await simulateRollout({ behaviour, fault, random: seededRandom(seed), ...load });
                    const what = `seed ${seed}: ${JSON.stringify(result)}`;
                    t.is(result.onceInTrial, 0, what);
                    t.is(result.lastStatus, result.status, what);
                    if (behaviour === "good") {
                        t.is(result.status, "completed", what);
                    }
                    else {
                        t.is(result.status, "rolled-back", what);
                        t.is(result.tooLate, 0, what);
                        t.true(result.exposed <= result.requests * EXPOSURE_SHARE + EXPOSURE_SLACK, what);
                    }
                }
            }
        });
    });
});

test("rollout, simulated: with one request in ten seconds, a version is in place by the deadline", async t => {
    const result = await simulateRollout({
        behaviour: "good",
        fault: "none",
        random: seededRandom(1),
        durationMs: 12_000,
        arrivalMs: 10_000,
    });
    t.is(result.status, "completed");
});
