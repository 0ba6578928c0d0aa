import type { IncomingMessage } from "node:http";

import type { ServiceName } from "@azureshunt/core";
import { seededRandom } from "@azureshunt/testing";
import test from "ava";

import type { Route } from "../../configuration/Route.js";
import { overloadDelayMs } from "../../placement/overloadDelayMs.js";
import type { EndpointEntry } from "../../registry/EndpointEntry.js";
import { createDegradation } from "../../serve/createDegradation.js";
import { createOverloadGuard } from "../../serve/createOverloadGuard.js";
import { createTickLag } from "../../serve/createTickLag.js";
import { simulateEngines } from "../support/simulateEngines.js";

const TICK_MS = 100;
const SLOTS = 12;
const ENGINES = 8;
const SILENT = { from: 10_000, until: 24_000, noticedMs: 500 };
const service = "chat" as ServiceName;

const loadOf = (id: string, priority: number, objectiveMs: number, tokens: number, perSecond: number) => ({
    id,
    tokens,
    perSecond,
    route: { name: id, priority, objectiveMs, targets: [{ service, weight: 1 }] } as unknown as Route,
});
/** Sizes and proportions of the long and short prompts of deployment F, as a part of what all engines can prefill. */
const loadsAt = (part: number) => {
    const perSecond = part * ENGINES * 68_200 / (6_610 + 8.43 * 1_800);
    return [loadOf("long", 0, 819, 6_610, perSecond), loadOf("short", 2, 2_010, 1_800, 8.43 * perSecond)];
};
const entries = Array.from({ length: ENGINES }, (_, i) => ({ name: `e${i}` }) as unknown as EndpointEntry);
const metrics = { gauge: () => () => undefined };

/** Simulates engines of which a quarter is silent for 14 s. */
const simulate = (loads: ReturnType<typeof loadsAt>, isDegraded: boolean, hasSilence = true) => {
    const time = { now: 0, tickAt: 0 };
    const clock = { now: () => time.now, epoch: () => time.now };
    const isSilent = (i: number, at: number): boolean =>
        hasSilence && i < ENGINES / 4 && at >= SILENT.from && at < SILENT.until;
    const isUp = (i: number, at: number): boolean => !isSilent(i, at) || !isSilent(i, at - SILENT.noticedMs);
    const { next } = seededRandom(18);
    const lag = createTickLag(clock, TICK_MS);
    const overload = createOverloadGuard({ clock, random: next, lag });
    const degradation = createDegradation({
        clock,
        random: next,
        routes: () => loads.map(({ route }) => route),
        endpointTable: { servingEntries: () => entries, isSilent: entry => !isUp(entries.indexOf(entry), time.now) },
        overload,
        metrics,
    });
    const { served, shareOf } = simulateEngines({
        loads,
        engines: ENGINES,
        durationMs: 40_000,
        isSilent,
        isUp,
        send: ({ route }, estimate, now) => {
            time.now = now;
            if (now - time.tickAt >= TICK_MS) {
                lag.tick();
                overload.tick();
                time.tickAt = now;
            }
            overload.enter({ socket: {} } as IncomingMessage, route);
            const { objectiveMs, priority } = route;
            const overloadMs = overloadDelayMs({ ...estimate, objectiveMs, isUrgent: priority === 0 });
            const request = { service, route, organisation: undefined };
            const degradedMs = degradation.delayMs(request, { ...estimate, slots: SLOTS });
            return overloadMs !== undefined || isDegraded && degradedMs !== undefined ? undefined : () => undefined;
        },
    });
    const inTime = (name: string): number =>
        shareOf("isInTime", (id, at) => id === name && at >= SILENT.from && at < SILENT.until);
    return { served, long: inTime("long"), short: inTime("short"), step: degradation.stepOf(service) };
};

// Guards against a less urgent kind with a wide objective that fills the queues of the engines that are left, so that the
// most urgent kind is refused.
test("degradation: a quarter of the engines silent: the most urgent kind keeps its share", t => {
    const before = simulate(loadsAt(0.9), false);
    const after = simulate(loadsAt(0.9), true);
    t.true(before.long < 0.3, `${before.long} without`);
    t.true(after.long > 0.8, `${after.long} with it`);
    t.true(after.short > 0.5, `${before.short} → ${after.short}`);
    t.is(after.step, 0);
});

const unchanged = [
    { name: "no engine silent, at 1.3 times the capacity", loads: loadsAt(1.3), hasSilence: false },
    { name: "a quarter silent, but the others have room", loads: loadsAt(0.5), hasSilence: true },
    { name: "one kind alone", loads: loadsAt(1.1).slice(1), hasSilence: true },
];
// Guards against refusals where nothing was lost, and in deployments without kinds of different urgency.
unchanged.forEach(({ name, loads, hasSilence }) => {
    test(`degradation: ${name}: every decision as without it`, t => {
        t.deepEqual(simulate(loads, true, hasSilence).served, simulate(loads, false, hasSilence).served);
    });
});

// Guards against refusals while fewer than half of the places are taken, as those of an engine that is back.
test("degradation: nothing is refused while the chosen endpoint has half of its places free", t => {
    const routes = loadsAt(1).map(load => load.route);
    const route = routes[1] as Route;
    const kinds = new Map([[route.name, { kind: route, recent: 10, refusedFraction: 0.9 }]]);
    const degradation = createDegradation({
        clock: { now: () => 0 },
        random: () => 0.5,
        routes: () => routes,
        endpointTable: { servingEntries: () => entries, isSilent: entry => entry !== entries[0] },
        overload: { divide: () => ({ kinds, priorities: new Map() }) },
        metrics,
    });
    const delayWith = (running: number): number | undefined =>
        degradation.delayMs({ service, route, organisation: undefined }, { queueMs: 500, running, slots: SLOTS });
    t.deepEqual([delayWith(5), delayWith(6)], [undefined, 1_000]);
});
