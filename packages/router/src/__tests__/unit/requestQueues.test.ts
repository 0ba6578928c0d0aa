import { setImmediate as nextTurn } from "node:timers/promises";

import { createMetrics } from "@azureshunt/telemetry";
import test from "ava";

import type { Route } from "../../configuration/Route.js";
import { createRequestQueues } from "../../serve/createRequestQueues.js";
import type { ServedRequest } from "../../serve/ServedRequest.js";
import type { ServeParts } from "../../serve/ServeParts.js";
import { serveTries } from "../../serve/serveTries.js";
import { candidateOf } from "../support/candidateOf.js";
import { createVirtualTime } from "../support/createVirtualTime.js";
import { entryOf } from "../support/entryOf.js";
import { routingOf } from "../support/routingOf.js";

const STEP_MS = 10;
/** Turns of the event loop that a released request takes until it is sent, and some to spare. */
const TURNS = 6;
const PREFILL_PER_MS = 60;

type Setup = {
    readonly priorities?: readonly number[];
    readonly vms?: number;
    /** Whether a more urgent request waits, for 300 ms. */
    readonly isBehind?: boolean;
    /** Time until the engine has worked off what it holds, as this VM knows it at a time. */
    readonly queueMsAt?: (now: number) => number;
    readonly at?: Readonly<Record<number, "leave" | "shut down" | "beacon" | "end of another">>;
};

/** Serves one request with an objective of 1 s; resolves with its end, when it came, and the timers set until then. */
const serveOne = async ({ priorities = [1, 0], vms = 3, queueMsAt = now => 900 - now, isBehind, at = {} }: Setup) => {
    const { clock, schedule, runUntil } = createVirtualTime();
    const metrics = createMetrics();
    const routes = priorities.map(priority => ({ priority, objectiveMs: 1_000, kind: "stream" }) as Partial<Route>);
    const configuration = routingOf(1, routes);
    const timers = { open: 0, most: 0 };
    const requestQueues = createRequestQueues({
        clock,
        metrics,
        configuration: () => configuration,
        placingVms: () => vms,
        freeSlots: () => 0,
        schedule: (delayMs, run) => {
            timers.open += 1;
            timers.most = Math.max(timers.most, timers.open);
            const cancel = schedule(delayMs, () => {
                timers.open -= 1;
                run();
            });
            return () => {
                timers.open -= 1;
                cancel();
            };
        },
    });
    const sent = new Error("sent");
    const parts = {
        clock,
        metrics,
        requestQueues,
        random: () => 0.5,
        declaredState: () => ({ configuration }),
        placingVms: () => vms,
        checkSuspension: () => undefined,
        isLagging: () => false,
        quarantine: { isQuarantined: () => false, admit: () => true },
        overload: { shortestAnswerMs: () => 0, recordSent: () => undefined, retryAfterSeconds: () => 0.2 },
        serviceShares: { isOver: () => false, recordRefused: () => undefined, begin: () => () => undefined },
        degradation: { delayMs: () => undefined },
        unreadBodies: { isSlowReader: () => false },
        rollouts: { selectorFor: () => undefined },
        streams: { selectForNew: () => undefined },
        prefixIndex: { holders: () => [] },
        fleetDemand: () => 0,
        retryBudgets: { of: () => ({ balance: 9 }) },
        endpointTable: {
            entries: () => [],
            withPerformance: (candidate: unknown) => candidate,
            beginRequest: () => ({ end: () => undefined }),
            candidates: () => [{
                candidate: candidateOf("e", {
                    waitingTokens: Math.max(0, queueMsAt(clock.now())) * PREFILL_PER_MS,
                    missingTokens: 0,
                }),
                entry: entryOf("e"),
                weights: undefined,
            }],
        },
        availability: { select: (placeable: unknown) => placeable, isPaused: () => false, recordTry: () => undefined },
        brittleServices: {
            select: (_: unknown, placeable: unknown) => placeable,
            // The first call of a try; what follows is not under test.
            recordTry: () => {
                throw sent;
            },
        },
        endpointLimits: {
            select: (_: unknown, placeable: unknown) => ({ unlimited: placeable, turns: [] }),
            size: () => 0,
            recordPlaced: () => undefined,
            recordTry: () => undefined,
        },
    } as unknown as ServeParts;
    const controller = new AbortController();
    const served = {
        caller: { prompt: { parts: [], promptTokens: 0, outputTokens: 9 } },
        service: "desk",
        route: configuration.routes[0],
        arrivedAt: 0,
        deadline: 15_000,
        sendBefore: 15_000,
        signal: controller.signal,
        notes: { add: () => undefined },
        output: { maxWaitMs: () => 0 },
    } as unknown as ServedRequest;
    const actions = {
        "leave": () => controller.abort(),
        "shut down": requestQueues.close,
        "beacon": requestQueues.onLoadKnown,
        "end of another": () => requestQueues.beginTry(served)(),
    };
    if (isBehind === true) {
        void requestQueues.wait({ ...served, route: configuration.routes[1]! }, { delayMs: 300, ownMs: 45 }, undefined);
    }
    const ended = { end: undefined as string | undefined };
    void serveTries(parts, served).then(
        end => {
            ended.end = end.kind === "refused" ? end.refusal.kind : end.kind;
        },
        (err: unknown) => {
            ended.end = err === sent ? "sent" : String(err);
        },
    );
    const turns = async (left = TURNS): Promise<void> =>
        left === 0 ? undefined : nextTurn().then(() => turns(left - 1));
    for (let now = 0; ended.end === undefined && now < 2_000; now += STEP_MS) {
        schedule(now - clock.now(), () => undefined);
        runUntil(now);
        const action = at[now];
        if (action !== undefined) {
            actions[action]();
        }
        await turns();
    }
    const waits = /waits_total\{.*end="(\w+)"\} 1\n/.exec(metrics.render())?.[1];
    return { end: ended.end, endedAt: clock.now(), waits, waiting: requestQueues.size(), ...timers };
};

type Case = Setup & { readonly name: string; readonly end: string; readonly endedAt: number; };

const untilRoom = (now: number): number => now < 50 ? 900 : 0;

// The predicted queue is at the limit of a less urgent kind, 0.8 of the objective without the request's own start of 45 ms,
// after 145 ms. What ends at once has not waited.
const cases: readonly Case[] = [
    { name: "room as predicted: sent then", end: "sent", endedAt: 150 },
    {
        name: "routes of one priority: refused at once, as before",
        priorities: [0, 0],
        queueMsAt: () => 1_300,
        end: "overloaded",
        endedAt: 0,
    },
    {
        name: "more urgent requests wait: sent after them",
        isBehind: true,
        queueMsAt: () => 400,
        end: "sent",
        endedAt: 310,
    },
    { name: "a VM that knows no other: refused at once", vms: 1, end: "overloaded", endedAt: 0 },
    { name: "no room within the objective: refused at once", queueMsAt: () => 1_800, end: "overloaded", endedAt: 0 },
    { name: "no room when predicted: refused once it is late", queueMsAt: () => 900, end: "overloaded", endedAt: 150 },
    { name: "a beacon: sent then", queueMsAt: untilRoom, at: { 60: "beacon" }, end: "sent", endedAt: 60 },
    { name: "another ends: sent then", queueMsAt: untilRoom, at: { 60: "end of another" }, end: "sent", endedAt: 60 },
    { name: "a caller leaves while it waits: never sent", at: { 50: "leave" }, end: "cancelled", endedAt: 50 },
    { name: "a caller leaves as room is found: never sent", at: { 150: "leave" }, end: "cancelled", endedAt: 150 },
    { name: "a VM shuts down: refused at once", at: { 50: "shut down" }, end: "shutting-down", endedAt: 50 },
];

// Guards against requests that are sent for nobody, held for longer than they can be in time, or wake an idle VM.
cases.forEach(({ name, end, endedAt, ...setup }) => {
    test(`request queues: ${name}`, async t => {
        const result = await serveOne(setup);
        const counted = end === "sent" || end === "cancelled" ? end : "refused";
        t.like(result, { end, endedAt, waits: endedAt === 0 ? undefined : counted, waiting: 0, open: 0 });
        t.true(result.most <= 1, `${result.most} timers at once for one request`);
    });
});
