import { seededRandom } from "@azureshunt/testing";

import type { StartLoad } from "../../StartLoad.js";
import type { Learner } from "./Learner.js";

/** A load on the engines of one service that several VMs place; one of them learns. */
type Replay = {
    readonly vms: number;
    /** Time until a VM knows what the others have sent. */
    readonly lateMs: number;
    readonly requestsPerSecond: number;
    readonly longShare: number;
    /** Speed of each endpoint, at a time in milliseconds. */
    readonly speeds: readonly ((now: number) => number)[];
    /** Prompt tokens per millisecond, time to first token and delay per running request at speed 1. */
    readonly figures: readonly [prefill: number, firstTokenMs: number, runningMs: number];
    /** Probability of a sample that is a second late for another reason, such as a lost packet. */
    readonly oddChance?: number;
    /** Whether requests go to endpoints at random, rather than to the earliest predicted start of some. */
    readonly isRandom?: boolean;
    readonly seed: number;
    readonly lengthMs: number;
};

/** A request that the learning VM placed. */
type Answer = {
    readonly endpoint: number;
    readonly sentAt: number;
    readonly observedMs: number;
    readonly predictedMs: number;
    readonly isOdd: boolean;
    /** Whether the VM had seen an answer of the endpoint. */
    readonly isKnown: boolean;
};

type Replayed = {
    readonly answers: readonly Answer[];
    /** Long prompts that each endpoint got from all VMs. */
    readonly longPrompts: readonly number[];
    /** Predicted and true start of a short prompt at the first endpoint without load, every 50 ms. */
    readonly probes: readonly { readonly at: number; readonly ratio: number; }[];
};

type Sent = {
    readonly vm: number;
    readonly sentAt: number;
    readonly startsAt: number;
    readonly tokens: number;
    readonly predictedMs: number;
};

const ODD_MS = 1_000;
const ANSWER_MS = 200;
const DRAWN = 4;
const PROBE_MS = 50;
const PROBE_TOKENS = 1_800;

/** Replays a load at engines that prefill in the order of arrival. */
export function replayLoads(replay: Replay, learner: Learner): Replayed {
    const random = seededRandom(replay.seed);
    const [prefill, firstTokenMs, runningMs] = replay.figures;
    const engines = replay.speeds.map(speedAt => ({ speedAt, freeAt: 0, longPrompts: 0, sent: [] as Sent[] }));
    const known = new Set<number>();
    const answers: Answer[] = [];
    const probes: { at: number; ratio: number; }[] = [];
    const state = { due: [] as { readonly at: number; readonly run: () => void; }[], probeAt: 0 };

    const pendingAt = (endpoint: number, now: number): readonly Sent[] =>
        (engines[endpoint]?.sent ?? []).filter(({ vm, startsAt }) => vm === 0 && startsAt > now);
    const loadAt = (endpoint: number, vm: number, now: number, missingTokens: number): StartLoad => {
        const load = { running: 0, waitingTokens: 0 };
        (engines[endpoint]?.sent ?? []).forEach(each => {
            const asOf = each.vm === vm ? now : now - replay.lateMs;
            if (each.sentAt <= asOf && each.startsAt + ANSWER_MS > asOf) {
                load.running += 1;
                load.waitingTokens += each.startsAt > asOf ? each.tokens : 0;
            }
        });
        return {
            slots: 32,
            ...load,
            missingTokens,
            fetchedTokens: 0,
            memorySize: 280_000,
            memoryTokens: 0,
        };
    };
    const probe = (now: number): void => {
        const speed = engines[0]?.speedAt(now) ?? 1;
        const idle = { ...loadAt(-1, 0, now, PROBE_TOKENS) };
        const trueMs = (PROBE_TOKENS / prefill + firstTokenMs) / speed;
        probes.push({ at: now, ratio: learner.predictMs(0, idle, now, pendingAt(0, now)) / trueMs });
    };
    const place = (now: number): void => {
        const vm = Math.floor(random.next() * replay.vms);
        const isLong = random.chance(replay.longShare);
        const tokens = isLong ? random.between(5_000, 8_200) : random.between(1_300, 2_300);
        const drawn = replay.isRandom === true
            ? [Math.floor(random.next() * engines.length)]
            : Array.from({ length: DRAWN }, () => Math.floor(random.next() * engines.length));
        const chosen = drawn.map(endpoint => {
            const load = loadAt(endpoint, vm, now, tokens);
            return { endpoint, load, predictedMs: learner.predictMs(endpoint, load, now, pendingAt(endpoint, now)) };
        }).reduce((best, each) => each.predictedMs < best.predictedMs ? each : best);
        const { endpoint, load, predictedMs } = chosen;
        const engine = engines[endpoint];
        if (engine === undefined) {
            return;
        }
        const speed = engine.speedAt(now);
        const running = engine.sent.filter(({ startsAt }) => startsAt + ANSWER_MS > now).length;
        const noise = random.between(0.92, 1.08);
        engine.freeAt = Math.max(now, engine.freeAt) + tokens / prefill / speed * noise;
        const isOdd = vm === 0 && random.chance(replay.oddChance ?? 0);
        const startsAt = engine.freeAt + (firstTokenMs + running * runningMs) / speed * noise + (isOdd ? ODD_MS : 0);
        engine.sent = engine.sent.filter(each => each.startsAt + ANSWER_MS > now - replay.lateMs);
        engine.sent.push({ vm, sentAt: now, startsAt, tokens, predictedMs });
        engine.longPrompts += isLong ? 1 : 0;
        if (vm !== 0) {
            return;
        }
        const startMs = startsAt - now;
        answers.push({
            endpoint,
            sentAt: now,
            observedMs: startMs,
            predictedMs,
            isOdd,
            isKnown: known.has(endpoint),
        });
        const observation = { bornAt: 1, load, distanceMs: 0, sentAt: now, startMs, lagMs: 0 };
        const run = (): void => {
            known.add(endpoint);
            learner.observe(endpoint, { ...observation, outcome: "started" }, startsAt);
        };
        state.due = [...state.due, { at: startsAt, run }].sort((a, b) => a.at - b.at);
    };
    for (let now = 0; now < replay.lengthMs; now -= Math.log(1 - random.next()) * 1_000 / replay.requestsPerSecond) {
        const ready = state.due.filter(({ at }) => at <= now);
        state.due = state.due.slice(ready.length);
        ready.forEach(({ run }) => run());
        if (now >= state.probeAt) {
            probe(now);
            state.probeAt += PROBE_MS;
        }
        place(now);
    }
    return { answers, longPrompts: engines.map(({ longPrompts }) => longPrompts), probes };
}
