import test from "ava";

import type { TryOutcome } from "../../dispatch/TryOutcome.js";
import type { Candidate } from "../../placement/Candidate.js";
import { chainOf } from "../../placement/chainOf.js";
import { choosePlace } from "../../placement/choosePlace.js";
import { createChainMemory } from "../../placement/createChainMemory.js";
import { healthAfterTry } from "../../placement/healthAfterTry.js";
import type { InFlight } from "../../placement/InFlight.js";
import { loadOf } from "../../placement/loadOf.js";
import { soundHealth } from "../../placement/soundHealth.js";
import { candidateOf } from "../support/candidateOf.js";

type Case = { readonly name: string; readonly candidates: readonly Candidate[]; readonly chosen: string | undefined; };

// A dark engine looks idle and draws all requests.
const cases: readonly Case[] = [
    { name: "nobody", candidates: [], chosen: undefined },
    {
        name: "the shorter queue",
        candidates: [candidateOf("a", { waitingTokens: 9_000 }), candidateOf("b")],
        chosen: "b",
    },
    {
        name: "less to read, though the queue is a little longer",
        candidates: [candidateOf("a", { missingTokens: 600, waitingTokens: 1_000 }), candidateOf("b")],
        chosen: "a",
    },
    {
        name: "a holder of the shared parts before one that would fetch them",
        candidates: [
            candidateOf("a", { missingTokens: 1_000, fetchedTokens: 5_000 }),
            candidateOf("b", { missingTokens: 1_000 }),
        ],
        chosen: "b",
    },
    {
        name: "the newest weights, when the others were replaced a while ago",
        candidates: [candidateOf("a", { outdatedMs: 2_000 }), candidateOf("b", { running: 5 })],
        chosen: "b",
    },
    {
        name: "replaced weights, while they still count in full",
        candidates: [candidateOf("a", { outdatedMs: 500 }), candidateOf("b", { running: 20 })],
        chosen: "a",
    },
    {
        name: "a busy one before one that has gone silent",
        candidates: [candidateOf("a", { silentMs: 400 }), candidateOf("b", { running: 9, waitingTokens: 9_000 })],
        chosen: "b",
    },
    {
        name: "a busy one before one in a failure domain out of hearing",
        candidates: [candidateOf("a", { quietMs: 500 }), candidateOf("b", { running: 9, waitingTokens: 9_000 })],
        chosen: "b",
    },
    {
        name: "one that is paused after failures gets nothing",
        candidates: [
            candidateOf("a", { health: { ...soundHealth, downUntil: 2_000 } }),
            candidateOf("b", { running: 50 }),
        ],
        chosen: "b",
    },
    {
        name: "where all are paused, the one whose pause ends first",
        candidates: [
            candidateOf("a", { health: { ...soundHealth, downUntil: 3_000 } }),
            candidateOf("b", { health: { ...soundHealth, downUntil: 2_000 } }),
        ],
        chosen: "b",
    },
    {
        name: "an engine with memory left",
        candidates: [candidateOf("a", { memoryTokens: 290_000 }), candidateOf("b", { waitingTokens: 9_000 })],
        chosen: "b",
    },
    {
        name: "plain services: a free slot",
        candidates: [
            candidateOf("a", { memorySize: 0, slots: 6, running: 6, missingTokens: 0 }),
            candidateOf("b", { memorySize: 0, slots: 6, running: 2, missingTokens: 0, isNear: false }),
        ],
        chosen: "b",
    },
];

cases.forEach(({ name, candidates, chosen }) => {
    test(`choosePlace: ${name}`, t => {
        t.is(choosePlace(candidates, 1_000, () => 0.5)?.candidate.name as string | undefined, chosen);
    });
});

const healthCases: readonly {
    readonly outcomes: readonly TryOutcome[];
    readonly down: number;
    readonly rate: number;
}[] = [
    { outcomes: ["answered"], down: -Infinity, rate: 0 },
    { outcomes: ["unreached"], down: 1_250, rate: 0 },
    { outcomes: ["unreached", "unreached", "unreached"], down: 2_000, rate: 0 },
    { outcomes: ["unreached", "unreached", "unreached", "unreached", "unreached"], down: 3_000, rate: 0 },
    { outcomes: ["unreached", "unreached", "answered", "unreached"], down: 1_250, rate: 0 },
    { outcomes: ["failed"], down: -Infinity, rate: 0.25 },
    { outcomes: ["failed", "answered"], down: -Infinity, rate: 0.1875 },
    { outcomes: ["broken"], down: 1_250, rate: 0.25 },
    { outcomes: ["refused", "elsewhere", "cancelled"], down: -Infinity, rate: 0 },
];

healthCases.forEach(({ outcomes, down, rate }) => {
    test(`healthAfterTry: ${outcomes.join(", ")}`, t => {
        const health = outcomes.reduce((before, outcome) => healthAfterTry(before, outcome, 1_000), soundHealth);
        t.is(health.downUntil, down);
        t.is(health.failureRate, rate);
    });
});

const inFlight = (more: Partial<InFlight>): InFlight => ({
    sentAt: 0,
    expectedAt: 500,
    missingTokens: 100,
    memoryTokens: 200,
    isAnswering: false,
    ...more,
});

// An engine that has gone dark passes for sound, or one that is only slow for dark.
const silences = [
    { name: "nothing there", requests: [], signAt: 0, silentMs: 0 },
    { name: "a request that is not due", requests: [inFlight({ expectedAt: 5_000 })], signAt: 0, silentMs: 0 },
    { name: "a stream that stopped", requests: [inFlight({ isAnswering: true })], signAt: 1_000, silentMs: 600 },
    { name: "a stream that runs", requests: [inFlight({ isAnswering: true })], signAt: 1_990, silentMs: 0 },
    { name: "an overdue request beside a stream that runs", requests: [inFlight({})], signAt: 1_990, silentMs: 0 },
    { name: "an overdue request and no sign", requests: [inFlight({})], signAt: -Infinity, silentMs: 1_600 },
] as const;

silences.forEach(({ name, requests, signAt, silentMs }) => {
    test(`loadOf: silence, ${name}`, t => t.is(loadOf(requests, undefined, signAt, 2_000).silentMs, silentMs));
});

test("chain memory: a part counts only where all before it are held, under the same salt, for a time", t => {
    const parts = [{ id: "a", tokens: 10 }, { id: "b", tokens: 20 }, { id: "c", tokens: 30 }];
    const memory = createChainMemory(() => ({ keptMs: 1_000, size: 1_000 }));
    const chain = chainOf("w1", parts);
    memory.note("e1", chain.slice(0, 2), 0);
    memory.note("e2", chain.slice(1), 0);
    t.deepEqual(memory.holders(chain, 500), [{ holder: "e1", tokens: 30 }]);
    t.deepEqual(memory.holders(chainOf("w2", parts), 500), []);
    t.deepEqual(memory.holders(chain, 1_500), []);
    memory.forget("e1");
    t.deepEqual(memory.holders(chain, 500), []);
});

test("chain memory: other VMs are told once of all that an engine has read, as all of it takes room there", t => {
    const chain = chainOf("w1", [{ id: "a", tokens: 10 }, { id: "b", tokens: 20 }]);
    const memory = createChainMemory(() => ({ keptMs: 1_000, size: 1_000 }));
    memory.note("e1", chain, 0);
    memory.note("e1", chain, 0);
    t.deepEqual(memory.takeNews(), [["e1", chain]]);
    t.deepEqual(memory.takeNews(), []);
    const other = createChainMemory(() => ({ keptMs: 1_000, size: 1_000 }));
    other.hear("e1", chain, 0);
    t.deepEqual(other.holders(chain, 500), [{ holder: "e1", tokens: 30 }]);
});

// A part that has left an engine's memory is counted on, fetched from nowhere and read again.
const fillings: readonly { readonly name: string; readonly others: number; readonly held: boolean; }[] = [
    { name: "a few prompts later it still holds the manual", others: 3, held: true },
    { name: "as many as just fit beside the manual", others: 9, held: true },
    { name: "one more pushes the manual out", others: 10, held: false },
];
fillings.forEach(({ name, others, held }) => {
    test(`chain memory of a full engine: ${name}`, t => {
        const memory = createChainMemory(() => ({ keptMs: 8_000, size: 100_000 }));
        const manual = chainOf("w1", [{ id: "manual", tokens: 10_000 }]);
        memory.note("e1", manual, 0);
        Array.from({ length: others }, (_, i) => chainOf("w1", [{ id: `own${i}`, tokens: 10_000 }]))
            .forEach((own, i) => memory.note("e1", own, 10 * i));
        t.is(memory.holders(manual, 2_000).length === 1, held);
    });
});

test("chain memory of a full engine: what is used again stays, and the end of a prompt makes room before its beginning", t => {
    const memory = createChainMemory(() => ({ keptMs: 8_000, size: 30 }));
    const first = chainOf("w1", [{ id: "a", tokens: 10 }, { id: "b", tokens: 10 }]);
    memory.note("e1", first, 0);
    memory.note("e1", chainOf("w1", [{ id: "c", tokens: 10 }]), 1);
    memory.note("e1", first, 2);
    memory.note("e1", chainOf("w1", [{ id: "d", tokens: 20 }]), 3);
    t.deepEqual(memory.holders(first, 4), [{ holder: "e1", tokens: 10 }]);
});
