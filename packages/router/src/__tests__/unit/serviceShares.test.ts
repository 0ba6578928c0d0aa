import type { OrganisationId, ServiceName } from "@azureshunt/core";
import { seededRandom } from "@azureshunt/testing";
import test from "ava";

import type { Route } from "../../configuration/Route.js";
import { overloadDelayMs } from "../../placement/overloadDelayMs.js";
import { createServiceShares } from "../../serve/createServiceShares.js";
import { simulateEngines } from "../support/simulateEngines.js";

const service = "chat" as ServiceName;
const route = { objectiveMs: 500 } as Route;
const TOKENS = 2_400;
/** Requests per second that one engine can prefill. */
const CAPACITY = 28;

type Sender = readonly [id: string, rate: number];

/** At this draw, a request over its share is not exempt. */
const DRAW = 0.9;

const requestOf = (id: string) => ({ service, organisation: { id: id as OrganisationId } });

/** @param load requests as a multiple of what the engine can prefill */
const simulate = (senders: readonly Sender[], load: number, isShared: boolean) => {
    const time = { now: 0 };
    const { next } = seededRandom(12);
    const shares = createServiceShares({ now: () => time.now });
    const total = senders.reduce((sum, [, rate]) => sum + rate, 0);
    const { served, shareOf } = simulateEngines({
        engines: 1,
        durationMs: 60_000,
        loads: senders.map(([id, rate]) => ({ id, route, tokens: TOKENS, perSecond: CAPACITY * load * rate / total })),
        send: ({ id }, estimate, now) => {
            time.now = now;
            const request = requestOf(id);
            const isOverShare = isShared && shares.isOver(request, next());
            if (overloadDelayMs({ ...estimate, ...route, isUrgent: true, isOverShare }) !== undefined) {
                shares.recordRefused(request);
                return undefined;
            }
            return shares.begin(request);
        },
    });
    const sent = (isCounted: (id: string) => boolean): number => shareOf("isSent", isCounted);
    return { served, all: sent(() => true), heavy: sent(id => id === "heavy"), others: sent(id => id !== "heavy") };
};

const among = (rate: number, others: number): readonly Sender[] => [
    ["heavy", rate],
    ...Array.from({ length: others }, (_, i) => [`o${i}`, 1] as const),
];
/** With the least increase of the share served of the other senders. */
const cases = [
    { name: "one at 6 times its rate among 5", senders: among(6, 4), load: 1.6, gain: 0.15 },
    { name: "one at 6 times its rate among 50", senders: among(6, 49), load: 1.6, gain: 0.02 },
    { name: "one at 60 times its rate among 50", senders: among(60, 49), load: 3, gain: 0.15 },
    { name: "all over their share", senders: among(1, 4), load: 1.6, gain: -0.05 },
    { name: "one that sends as much as 300 others", senders: among(300, 300), load: 1.6, gain: 0.15 },
];
// Guards against an organisation that fills the engines, so that requests of others are refused as often as its own, and
// against refusing it so often that it is served less than a quarter as often as all.
cases.forEach(({ name, senders, load, gain }) => {
    test(`service shares: ${name}`, t => {
        const alike = simulate(senders, load, false);
        const shared = simulate(senders, load, true);
        const { all, heavy, others } = shared;
        t.true(others >= alike.others + gain, `others ${alike.others} → ${others}, heavy ${alike.heavy} → ${heavy}`);
        t.true(heavy >= all / 4, `heavy ${heavy}, all ${all}`);
        t.true(all >= alike.all - 0.01, `all ${alike.all} → ${all}`);
    });
});

// Guards against decisions that change where there is nobody to share with.
test("service shares: an organisation that is alone is refused as without shares", t => {
    t.deepEqual(simulate(among(1, 0), 1.6, true).served, simulate(among(1, 0), 1.6, false).served);
});

// Guards against refusing an organisation before others while the service has room.
test("service shares: nobody is over its share until a request is refused, and 2 s after the last refusal", t => {
    const time = { now: 0 };
    const shares = createServiceShares({ now: () => time.now });
    const [many, few] = [requestOf("many"), requestOf("few")];
    const ends = Array.from({ length: 5 }, () => shares.begin(many));
    shares.begin(few);
    const isOver = (): readonly boolean[] => [many, few].map(request => shares.isOver(request, DRAW));
    t.deepEqual(isOver(), [false, false]);
    shares.recordRefused(few);
    t.deepEqual(isOver(), [true, false]);
    // Another service has room.
    t.false(shares.isOver({ ...many, service: "other" as ServiceName }, DRAW));
    ends.slice(1).forEach(end => end());
    t.deepEqual(isOver(), [false, false]);
    time.now = 2_000;
    ends.push(...Array.from({ length: 5 }, () => shares.begin(many)));
    t.deepEqual(isOver(), [false, false]);
});

// Guards against state that grows with the number of organisations that are seen.
test("service shares: organisations beyond 256 hold requests as one group", t => {
    const shares = createServiceShares({ now: () => 0 });
    const ends = Array.from({ length: 300 }, (_, i) => shares.begin(requestOf(`o${i}`)));
    shares.recordRefused(requestOf("o299"));
    t.deepEqual(["o0", "o255", "o256", "o299"].map(id => shares.isOver(requestOf(id), DRAW)), [
        false,
        false,
        true,
        true,
    ]);
    ends.forEach(end => end());
    t.false(shares.isOver(requestOf("o299"), DRAW));
});
