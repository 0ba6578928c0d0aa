import test from "ava";

import { admitSequences } from "../../engine/admitSequences.js";
import { finishStep } from "../../engine/finishStep.js";
import { planStep } from "../../engine/planStep.js";
import type { Sequence } from "../../engine/Sequence.js";

const NOW = 100;
const COSTS = { prefillUsPerToken: 1_000, decodeMsPerToken: 10, prefillChunk: 8 };

const sequence = (id: string, given: Partial<Sequence> = {}): Sequence => ({
    id,
    priority: 5,
    order: 1,
    pieces: ["p1", "p2"],
    pieceTokens: 4,
    promptTokens: 10,
    computedTokens: 0,
    cachedTokens: 0,
    position: 0,
    endPosition: 3,
    ...given,
});

[
    {
        name: "the lower priority goes first",
        waiting: [sequence("late", { order: 1 }), sequence("first", { order: 2, priority: 0 })],
        running: [],
        admitted: ["first"],
    },
    {
        name: "among equal priorities the earlier request goes first",
        waiting: [sequence("second", { order: 2 }), sequence("first", { order: 1 })],
        running: [],
        admitted: ["first"],
    },
    {
        name: "a full batch admits none",
        waiting: [sequence("waits")],
        running: [sequence("runs")],
        admitted: [],
    },
].forEach(({ name, waiting, running, admitted }) =>
    test(`batch: ${name}`, t => {
        const admission = admitSequences({ waiting, running }, new Map(), 1, NOW);
        t.deepEqual(admission.admitted.map(({ id }) => id), admitted);
        t.is(admission.batch.waiting.length, waiting.length - admitted.length);
    })
);

[
    { name: "nothing cached", cached: [], promptTokens: 10, tokens: 0 },
    { name: "one piece cached", cached: ["p1"], promptTokens: 10, tokens: 4 },
    { name: "all pieces cached, with an incomplete last piece", cached: ["p1", "p2"], promptTokens: 10, tokens: 8 },
    {
        name: "the last token is computed even if the whole prompt is cached",
        cached: ["p1", "p2"],
        promptTokens: 8,
        tokens: 7,
    },
].forEach(({ name, cached, promptTokens, tokens }) =>
    test(`batch cache: ${name}`, t => {
        const cache = new Map(cached.map(piece => [piece, 0]));
        const admission = admitSequences({ waiting: [sequence("s", { promptTokens })], running: [] }, cache, 1, NOW);
        t.is(admission.admitted[0]?.cachedTokens, tokens);
        t.is(admission.admitted[0]?.computedTokens, tokens);
    })
);

[
    { name: "an empty batch takes no time", running: [], prefill: [], decode: [], durationMs: 0 },
    {
        name: "a prompt takes time by its uncached tokens, up to the chunk",
        running: [sequence("s")],
        prefill: [["s", 8]],
        decode: [],
        durationMs: 8,
    },
    {
        name: "one request's prompt delays the others' tokens",
        running: [sequence("long", { computedTokens: 4 }), sequence("talks", { computedTokens: 10 })],
        prefill: [["long", 6]],
        decode: ["talks"],
        durationMs: 16,
    },
    {
        name: "the chunk is shared by priority",
        running: [sequence("low", { priority: 9 }), sequence("high", { priority: 0, computedTokens: 7 })],
        prefill: [["high", 3], ["low", 5]],
        decode: [],
        durationMs: 8,
    },
].forEach(({ name, running, prefill, decode, durationMs }) =>
    test(`step plan: ${name}`, t => {
        const plan = planStep(running, COSTS);
        t.deepEqual([...plan.prefill], prefill as [string, number][]);
        t.deepEqual([...plan.decode], decode);
        t.is(plan.durationMs, durationMs);
    })
);

[
    {
        name: "a step that does not complete the prompt generates no token",
        before: sequence("s"),
        plan: { prefill: new Map([["s", 8]]), decode: new Set<string>(), durationMs: 8 },
        generated: [],
        chains: [["p1", "p2"]],
        left: 1,
    },
    {
        name: "the step that completes the prompt generates the first token",
        before: sequence("s", { computedTokens: 8 }),
        plan: { prefill: new Map([["s", 2]]), decode: new Set<string>(), durationMs: 2 },
        generated: [{ id: "s", position: 0, last: false }],
        chains: [],
        left: 1,
    },
    {
        name: "a resumed answer continues from its position",
        before: sequence("s", { computedTokens: 10, position: 1 }),
        plan: { prefill: new Map<string, number>(), decode: new Set(["s"]), durationMs: 10 },
        generated: [{ id: "s", position: 1, last: false }],
        chains: [],
        left: 1,
    },
    {
        name: "the last token ends the request",
        before: sequence("s", { computedTokens: 10, position: 2 }),
        plan: { prefill: new Map<string, number>(), decode: new Set(["s"]), durationMs: 10 },
        generated: [{ id: "s", position: 2, last: true }],
        chains: [],
        left: 0,
    },
    {
        name: "a request that joined after the plan was made is unchanged",
        before: sequence("s", { computedTokens: 10 }),
        plan: { prefill: new Map<string, number>(), decode: new Set(["cancelled"]), durationMs: 10 },
        generated: [],
        chains: [],
        left: 1,
    },
].forEach(({ name, before, plan, generated, chains, left }) =>
    test(`step: ${name}`, t => {
        const result = finishStep([before], plan);
        t.deepEqual(result.generated, generated);
        t.deepEqual(result.chains, chains);
        t.is(result.running.length, left);
    })
);
