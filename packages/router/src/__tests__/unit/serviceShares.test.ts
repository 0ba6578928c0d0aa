import type { OrganisationId, ServiceName } from "@azureshunt/core";
import { seededRandom } from "@azureshunt/testing";
import test from "ava";

import { estimateStart } from "../../placement/estimateStart.js";
import { overloadDelayMs } from "../../placement/overloadDelayMs.js";
import { createServiceShares } from "../../serve/createServiceShares.js";
import { candidateOf } from "../support/candidateOf.js";

const OBJECTIVE_MS = 500;
const PROMPT = 2_400;
const PREFILL_PER_MS = 60;
const DURATION_MS = 60_000;
const service = "chat" as ServiceName;

type Sender = { readonly id: string; readonly rate: number; };

const requestOf = (id: string) => ({ service, organisation: { id: id as OrganisationId } });

/**
 * Simulates one engine that prefills prompts in the order of arrival; the requests of a VM hold it until they end.
 *
 * @param load arriving prompt tokens as a multiple of what the engine can prefill
 */
const simulate = (senders: readonly Sender[], load: number, isShared: boolean) => {
    const random = seededRandom(11).next;
    const total = senders.reduce((sum, { rate }) => sum + rate, 0);
    const arrivals = senders.flatMap(({ id, rate }) => {
        const gapMs = PROMPT / PREFILL_PER_MS / load * total / rate;
        const times: { readonly id: string; readonly at: number; }[] = [];
        for (let at = random() * gapMs; at < DURATION_MS; at -= Math.log(1 - random()) * gapMs) {
            times.push({ id, at });
        }
        return times;
    }).sort((a, b) => a.at - b.at);
    const time = { now: 0, freeAt: 0 };
    const shares = createServiceShares({ now: () => time.now }, seededRandom(12).next);
    const state = { running: [] as { readonly endsAt: number; readonly end: () => void; }[] };
    const sent = arrivals.map(({ id, at }) => {
        time.now = at;
        state.running.filter(({ endsAt }) => endsAt <= at).forEach(({ end }) => end());
        state.running = state.running.filter(({ endsAt }) => endsAt > at);
        const request = requestOf(id);
        const waitingTokens = Math.max(0, time.freeAt - at) * PREFILL_PER_MS;
        const estimate = estimateStart(candidateOf("e", { running: 0, waitingTokens, missingTokens: PROMPT }), 0);
        const isOverShare = isShared && shares.isOver(request);
        if (overloadDelayMs({ ...estimate, objectiveMs: OBJECTIVE_MS, isUrgent: true, isOverShare }) !== undefined) {
            shares.recordRefused(request);
            return { id, at, isSent: false };
        }
        time.freeAt = Math.max(time.freeAt, at) + PROMPT / PREFILL_PER_MS;
        state.running.push({ endsAt: time.freeAt, end: shares.begin(request) });
        return { id, at, isSent: true };
    });
    const shareOf = (isCounted: (id: string) => boolean): number => {
        const counted = sent.filter(({ id }) => isCounted(id));
        return counted.filter(({ isSent }) => isSent).length / counted.length;
    };
    return {
        sent,
        all: shareOf(() => true),
        heavy: shareOf(id => id === "heavy"),
        others: shareOf(id => id !== "heavy"),
        least: Math.min(...senders.map(({ id }) => shareOf(other => other === id))),
    };
};

type LoadCase = {
    readonly name: string;
    readonly senders: readonly Sender[];
    readonly load?: number;
    /** Least increase of the share served of the other senders. */
    readonly gain: number;
};

const othersOf = (count: number, rate = 1): readonly Sender[] =>
    Array.from({ length: count }, (_, i) => ({ id: `o${i}`, rate }));
const cases: readonly LoadCase[] = [
    { name: "one at 6 times its rate among 5", senders: [{ id: "heavy", rate: 6 }, ...othersOf(4)], gain: 0.15 },
    { name: "one at 6 times its rate among 50", senders: [{ id: "heavy", rate: 6 }, ...othersOf(49)], gain: 0.02 },
    {
        name: "one at 60 times its rate among 50, which is still served a quarter as often as all",
        senders: [{ id: "heavy", rate: 60 }, ...othersOf(49)],
        load: 3,
        gain: 0.15,
    },
    { name: "all over their share", senders: [{ id: "heavy", rate: 1 }, ...othersOf(4)], gain: -0.05 },
    {
        name: "one that sends as much as 300 others",
        senders: [{ id: "heavy", rate: 300 }, ...othersOf(300)],
        gain: 0.15,
    },
];
// Guards against an organisation that fills the engines, so that requests of others are refused as often as its own.
cases.forEach(({ name, senders, load = 1.6, gain }) => {
    test(`service shares: ${name}`, t => {
        const alike = simulate(senders, load, false);
        const shared = simulate(senders, load, true);
        t.true(
            shared.others >= alike.others + gain,
            `others ${alike.others} → ${shared.others}, heavy ${shared.heavy}`,
        );
        t.true(shared.heavy >= shared.all / 4, `heavy ${shared.heavy}, all ${shared.all}`);
        t.true(shared.all >= alike.all - 0.01, `all ${alike.all} → ${shared.all}`);
    });
});

// Guards against decisions that change where there is nobody to share with.
test("service shares: an organisation that is alone is refused as without shares", t => {
    const alone = [{ id: "heavy", rate: 1 }];
    t.deepEqual(simulate(alone, 1.6, true).sent, simulate(alone, 1.6, false).sent);
});

// Guards against refusing an organisation before others while the service has room.
test("service shares: nobody is over its share until a request is refused, and 2 s after the last refusal", t => {
    const time = { now: 0 };
    const shares = createServiceShares({ now: () => time.now }, () => 0.9);
    const [many, few] = [requestOf("many"), requestOf("few")];
    const ends = Array.from({ length: 5 }, () => shares.begin(many));
    shares.begin(few);
    const isOver = (): readonly boolean[] => [shares.isOver(many), shares.isOver(few)];
    t.deepEqual(isOver(), [false, false]);
    shares.recordRefused(few);
    t.deepEqual(isOver(), [true, false]);
    // Another service has room.
    t.false(shares.isOver({ ...many, service: "other" as ServiceName }));
    ends.slice(1).forEach(end => end());
    t.deepEqual(isOver(), [false, false]);
    time.now = 2_000;
    ends.push(...Array.from({ length: 5 }, () => shares.begin(many)));
    t.deepEqual(isOver(), [false, false]);
});

// Guards against state that grows with the number of organisations that are seen.
test("service shares: organisations beyond 256 hold requests as one group", t => {
    const shares = createServiceShares({ now: () => 0 }, () => 0.9);
    const ends = Array.from({ length: 300 }, (_, i) => shares.begin(requestOf(`o${i}`)));
    shares.recordRefused(requestOf("o299"));
    t.deepEqual(["o0", "o255", "o256", "o299"].map(id => shares.isOver(requestOf(id))), [false, false, true, true]);
    ends.forEach(end => end());
    t.false(shares.isOver(requestOf("o299")));
});
