import type { IncomingMessage } from "node:http";

import type { ServiceName } from "@azureshunt/core";
import { seededRandom } from "@azureshunt/testing";
import test from "ava";

import type { Route } from "../../configuration/Route.js";
import { overloadDelayMs } from "../../placement/overloadDelayMs.js";
import type { EndpointEntry } from "../../registry/EndpointEntry.js";
import { createDegradation } from "../../serve/createDegradation.js";
import { createOverloadGuard } from "../../serve/createOverloadGuard.js";

const TICK_MS = 100;
const PREFILL_PER_MS = 68.2;
const SLOTS = 12;
const ENGINES = 8;
const service = "chat" as ServiceName;
const SILENT = { from: 10_000, until: 24_000, noticedMs: 500 };
const DURATION_MS = 40_000;

const kindOf = (name: string, priority: number, objectiveMs: number, tokens: number, perSecond: number) => ({
    tokens,
    perSecond,
    route: { name, priority, objectiveMs, targets: [{ service, weight: 1 }] } as unknown as Route,
});
/** Sizes and proportions of the long and short prompts of deployment F. */
const kindsAt = (load: number) => {
    const perSecond = load * ENGINES * PREFILL_PER_MS * 1_000 / (6_610 + 8.43 * 1_800);
    return [kindOf("long", 0, 819, 6_610, perSecond), kindOf("short", 2, 2_010, 1_800, 8.43 * perSecond)];
};

type Engine = { readonly entry: EndpointEntry; freeAt: number; endsAt: readonly number[]; };

/** Simulates engines that prefill in the order of arrival, a quarter of which is silent for 14 s. */
const simulate = (kinds: ReturnType<typeof kindsAt>, isDegraded: boolean, hasSilence = true) => {
    const random = seededRandom(17).next;
    const time = { now: 0, tickAt: 0 };
    const clock = { now: () => time.now, epoch: () => time.now };
    const engines: readonly Engine[] = Array.from({ length: ENGINES }, (_, i) => ({
        entry: { name: `e${i}` } as unknown as EndpointEntry,
        freeAt: 0,
        endsAt: [],
    }));
    const isSilent = (i: number, at: number): boolean =>
        hasSilence && i < ENGINES / 4 && at >= SILENT.from && at < SILENT.until;
    const isUp = (i: number): boolean => !isSilent(i, time.now) || !isSilent(i, time.now - SILENT.noticedMs);
    const overload = createOverloadGuard({ clock, random, intervalMs: TICK_MS });
    const degradation = createDegradation({
        clock,
        random: seededRandom(18).next,
        routes: () => kinds.map(({ route }) => route),
        endpointTable: {
            servingEntries: () => engines.map(({ entry }) => entry),
            isUp: entry => isUp(engines.findIndex(engine => engine.entry === entry)),
        },
        overload,
        metrics: { gauge: () => () => undefined },
    });
    const arrivals = kinds.flatMap(kind => {
        const times: { readonly kind: typeof kind; readonly at: number; }[] = [];
        for (let at = 0; at < DURATION_MS; at -= Math.log(1 - random()) * 1_000 / kind.perSecond) {
            times.push({ kind, at });
        }
        return times;
    }).sort((a, b) => a.at - b.at);
    const served = arrivals.map(({ kind: { route, tokens }, at }) => {
        time.now = at;
        if (at - time.tickAt >= TICK_MS) {
            overload.tick();
            time.tickAt = at;
        }
        overload.enter({ socket: {} } as IncomingMessage, route);
        const engine = engines.filter((_, i) => isUp(i))
            .reduce((best, each) => each.freeAt < best.freeAt ? each : best);
        const queueMs = Math.max(0, engine.freeAt - at);
        const ownMs = tokens / PREFILL_PER_MS + 45;
        const estimate = { queueMs, startMs: queueMs + ownMs };
        engine.endsAt = engine.endsAt.filter(end => end > at);
        const place = { queueMs, running: engine.endsAt.length, slots: SLOTS };
        const degradedMs = degradation.delayMs({ service, route, organisation: undefined }, place);
        const { objectiveMs, priority } = route;
        const isRefused = overloadDelayMs({ ...estimate, objectiveMs, isUrgent: priority === 0 }) !== undefined
            || isDegraded && degradedMs !== undefined;
        if (!isRefused) {
            engine.freeAt = Math.max(engine.freeAt, at) + tokens / PREFILL_PER_MS;
            engine.endsAt = [...engine.endsAt, engine.freeAt + 150];
        }
        const isLost = isSilent(engines.indexOf(engine), at);
        return { name: route.name as string, at, isInTime: !isRefused && !isLost && estimate.startMs <= objectiveMs };
    });
    const inTime = (name: string, from: number, until: number): number => {
        const counted = served.filter(each => each.name === name && each.at >= from && each.at < until);
        return counted.filter(({ isInTime }) => isInTime).length / counted.length;
    };
    return {
        served,
        long: inTime("long", SILENT.from, SILENT.until),
        short: inTime("short", SILENT.from, SILENT.until),
        after: inTime("long", SILENT.until, DURATION_MS),
        step: degradation.stepOf(service),
    };
};

// Guards against a less urgent kind with a wide objective that fills the queues of the engines that are left, so that the
// most urgent kind is refused.
test("degradation: a quarter of the engines silent: the most urgent kind keeps its share", t => {
    const before = simulate(kindsAt(0.9), false);
    const after = simulate(kindsAt(0.9), true);
    t.true(before.long < 0.3, `${before.long} without`);
    t.true(after.long > 0.8, `${after.long} with it`);
    t.true(after.short > 0.5, `${after.short} with it`);
    t.is(after.step, 0);
});

const unchanged = [
    { name: "no engine silent, at 1.3 times the capacity", kinds: kindsAt(1.3), hasSilence: false },
    { name: "a quarter silent, but the others have room", kinds: kindsAt(0.5), hasSilence: true },
    { name: "one kind alone", kinds: kindsAt(1.1).slice(1), hasSilence: true },
];
// Guards against refusals where nothing was lost, and in deployments without kinds of different urgency.
unchanged.forEach(({ name, kinds, hasSilence }) => {
    test(`degradation: ${name}: every decision as without it`, t => {
        t.deepEqual(simulate(kinds, true, hasSilence).served, simulate(kinds, false, hasSilence).served);
    });
});

// Guards against refusals while fewer than half of the places are taken, as those of an engine that is back.
test("degradation: nothing is refused while the chosen endpoint has half of its places free", t => {
    const time = { now: 0 };
    const [long, short] = kindsAt(1);
    const routes = [long, short].flatMap(kind => kind === undefined ? [] : [kind.route]);
    const route = routes[1] as Route;
    const entries = [{ name: "e0" }, { name: "e1" }] as unknown as readonly EndpointEntry[];
    const degradation = createDegradation({
        clock: { now: () => time.now },
        random: () => 0.5,
        routes: () => routes,
        endpointTable: { servingEntries: () => entries, isUp: entry => entry === entries[0] },
        overload: {
            divide: () => ({
                kinds: new Map([[route.name, { kind: route, recent: 10, refusedFraction: 0.9 }]]),
                priorities: new Map(),
            }),
        },
        metrics: { gauge: () => () => undefined },
    });
    const delayWith = (running: number): number | undefined =>
        degradation.delayMs({ service, route, organisation: undefined }, { queueMs: 500, running, slots: SLOTS });
    t.deepEqual([delayWith(5), delayWith(6)], [undefined, 1_000]);
});
