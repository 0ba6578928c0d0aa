import test from "ava";

import { createScheduler } from "../../engine/createScheduler.js";
import type { PieceCache } from "../../engine/PieceCache.js";
import { storePieces } from "../../engine/storePieces.js";
import { manualClock } from "../manualClock.js";

const COSTS = { prefillUsPerToken: 1_000, decodeMsPerToken: 10, prefillChunk: 100 };
const MAX_PIECES = 10;

type Reported = { readonly running: number; readonly waiting: number; };
type Progress = { readonly id: string; readonly at: number; readonly what: string; };

const start = (frozen: () => boolean = () => false) => {
    const clock = manualClock();
    const progress: Progress[] = [];
    const reported: Reported[] = [];
    let cache: PieceCache = new Map();
    const scheduler = createScheduler({
        clock,
        maxBatch: 2,
        costs: () => COSTS,
        frozen,
        cache: {
            current: () => cache,
            replace: next => {
                cache = next;
            },
            store: chain => {
                cache = storePieces(cache, chain, MAX_PIECES, clock.now()).cache;
            },
        },
        onScheduled: ({ running, waiting }) => reported.push({ running: running.length, waiting: waiting.length }),
    });
    const submit = (id: string, promptTokens: number, answerTokens: number) =>
        scheduler.submit({
            id,
            priority: 5,
            order: progress.length,
            pieces: ["p1"],
            pieceTokens: 20,
            promptTokens,
            computedTokens: 0,
            cachedTokens: 0,
            position: 0,
            endPosition: answerTokens,
        }, {
            started: ({ cachedTokens }) => progress.push({ id, at: clock.now(), what: `started ${cachedTokens}` }),
            token: (position, last) =>
                progress.push({ id, at: clock.now(), what: `${position}${last ? " last" : ""}` }),
        });
    return { clock, progress, reported, submit, scheduler };
};

test("scheduler: computes the prompt, generates the tokens and ends the request", t => {
    const { clock, progress, submit, scheduler } = start();
    submit("a", 30, 2);
    clock.advance(100);
    t.deepEqual(progress, [
        { id: "a", at: 0, what: "started 0" },
        { id: "a", at: 30, what: "0" },
        { id: "a", at: 40, what: "1 last" },
    ]);
    t.is(scheduler.batch().running.length, 0);
});

test("scheduler: a second request finds the first one's prefix in the cache and joins its batch", t => {
    const { clock, progress, submit } = start();
    submit("a", 30, 3);
    clock.advance(30);
    submit("b", 30, 1);
    clock.advance(100);
    t.deepEqual(progress.slice(2), [
        { id: "a", at: 40, what: "1" },
        { id: "b", at: 40, what: "started 20" },
        { id: "a", at: 60, what: "2 last" },
        { id: "b", at: 60, what: "0 last" },
    ]);
});

test("scheduler: a cancelled request frees its place for the next one and gets no further callbacks", t => {
    const { clock, progress, submit } = start();
    const cancel = submit("a", 30, 100);
    submit("b", 30, 100);
    submit("c", 30, 1);
    clock.advance(35);
    cancel();
    const received = progress.filter(({ id }) => id === "a").length;
    clock.advance(200);
    t.is(progress.filter(({ id }) => id === "a").length, received);
    t.true(progress.some(({ id, what }) => id === "c" && what === "0 last"));
});

test("scheduler: a frozen engine continues where it stopped", t => {
    const state = { frozen: true };
    const { clock, progress, submit, scheduler } = start(() => state.frozen);
    submit("a", 30, 1);
    clock.advance(1_000);
    t.deepEqual(progress, []);
    state.frozen = false;
    scheduler.resume();
    clock.advance(1_000);
    t.deepEqual(progress.map(({ what }) => what), ["started 0", "0 last"]);
});

test("scheduler: only requests that did not fit are reported as waiting", t => {
    // If a request that only waits for the current step to end were reported as waiting, the engine would seem full.
    const { clock, reported, submit } = start();
    submit("a", 30, 2);
    clock.advance(10);
    submit("b", 30, 2);
    clock.advance(200);
    t.true(reported.every(({ waiting }) => waiting === 0));
    submit("a", 30, 2);
    submit("b", 30, 2);
    submit("c", 30, 2);
    clock.advance(200);
    t.true(reported.some(({ running, waiting }) => running === 2 && waiting === 1));
});
