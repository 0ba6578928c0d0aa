import type { ModelName } from "@azureshunt/core";
import test from "ava";

import type { TryOutcome } from "../../dispatch/TryOutcome.js";
import type { Candidate } from "../../placement/Candidate.js";
import { chainOf } from "../../placement/chainOf.js";
import { choosePlace } from "../../placement/choosePlace.js";
import { createPrefixIndex } from "../../placement/createPrefixIndex.js";
import { healthAfterTry } from "../../placement/healthAfterTry.js";
import type { InFlight } from "../../placement/InFlight.js";
import { initialHealth } from "../../placement/initialHealth.js";
import { loadOf } from "../../placement/loadOf.js";
import { candidateOf } from "../support/candidateOf.js";

const model = "alpha" as ModelName;

type Case = { readonly name: string; readonly candidates: readonly Candidate[]; readonly chosen: string | undefined; };

// An engine that has stopped responding looks idle and attracts all requests.
const cases: readonly Case[] = [
    { name: "no candidates: none is chosen", candidates: [], chosen: undefined },
    {
        name: "prefers the shorter queue",
        candidates: [candidateOf("a", { waitingTokens: 9_000 }), candidateOf("b")],
        chosen: "b",
    },
    {
        name: "prefers less prefill to a slightly shorter queue",
        candidates: [candidateOf("a", { missingTokens: 600, waitingTokens: 1_000 }), candidateOf("b")],
        chosen: "a",
    },
    {
        name: "prefers an engine that holds the shared parts to one that would fetch them",
        candidates: [
            candidateOf("a", { missingTokens: 1_000, fetchedTokens: 5_000 }),
            candidateOf("b", { missingTokens: 1_000 }),
        ],
        chosen: "b",
    },
    {
        name: "prefers the newest weights to weights replaced a while ago",
        candidates: [candidateOf("a", { outdatedMs: 2_000 }), candidateOf("b", { running: 5 })],
        chosen: "b",
    },
    {
        name: "does not penalise weights replaced a short time ago",
        candidates: [candidateOf("a", { outdatedMs: 500 }), candidateOf("b", { running: 20 })],
        chosen: "a",
    },
    {
        name: "prefers a busy endpoint to a silent one",
        candidates: [candidateOf("a", { silentMs: 400 }), candidateOf("b", { running: 9, waitingTokens: 9_000 })],
        chosen: "b",
    },
    {
        name: "prefers a busy endpoint to one in a silent failure domain",
        candidates: [candidateOf("a", { domainSilentMs: 500 }), candidateOf("b", { running: 9, waitingTokens: 9_000 })],
        chosen: "b",
    },
    {
        name: "skips an endpoint in backoff",
        candidates: [
            candidateOf("a", { health: { ...initialHealth, backoffUntil: 2_000 } }),
            candidateOf("b", { running: 50 }),
        ],
        chosen: "b",
    },
    {
        name: "all in backoff: tries the one whose backoff ends first",
        candidates: [
            candidateOf("a", { health: { ...initialHealth, backoffUntil: 3_000 } }),
            candidateOf("b", { health: { ...initialHealth, backoffUntil: 2_000 } }),
        ],
        chosen: "b",
    },
    {
        name: "prefers an engine with free memory",
        candidates: [candidateOf("a", { memoryTokens: 290_000 }), candidateOf("b", { waitingTokens: 9_000 })],
        chosen: "b",
    },
    {
        name: "plain services: prefers a free slot in another failure domain to a full endpoint",
        candidates: [
            candidateOf("a", { memorySize: 0, slots: 6, running: 6, missingTokens: 0 }),
            candidateOf("b", { memorySize: 0, slots: 6, running: 2, missingTokens: 0, isSameDomain: false }),
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
        const health = outcomes.reduce(
            (before, outcome) => healthAfterTry(before, outcome, 1_000, true),
            initialHealth,
        );
        t.is(health.backoffUntil, down);
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

// An engine that has stopped responding is taken for healthy, or one that is merely slow for one that has stopped.
const silenceCases = [
    { name: "no requests", requests: [], activityAt: 0, silentMs: 0 },
    {
        name: "a request whose first activity is not due yet",
        requests: [inFlight({ expectedAt: 5_000 })],
        activityAt: 0,
        silentMs: 0,
    },
    { name: "a stream that stopped", requests: [inFlight({ isAnswering: true })], activityAt: 1_000, silentMs: 600 },
    { name: "a running stream", requests: [inFlight({ isAnswering: true })], activityAt: 1_990, silentMs: 0 },
    { name: "an overdue request beside a running stream", requests: [inFlight({})], activityAt: 1_990, silentMs: 0 },
    { name: "an overdue request and no activity", requests: [inFlight({})], activityAt: -Infinity, silentMs: 1_600 },
] as const;

silenceCases.forEach(({ name, requests, activityAt, silentMs }) => {
    test(`loadOf: silence, ${name}`, t => t.is(loadOf(requests, undefined, activityAt, 2_000).silentMs, silentMs));
});

test("prefix index: a part counts only if all parts before it are cached, for the same model and salt, until it expires", t => {
    const parts = [{ id: "a", tokens: 10 }, { id: "b", tokens: 20 }, { id: "c", tokens: 30 }];
    const index = createPrefixIndex(() => ({ expiryMs: 1_000, size: 1_000 }));
    const chain = chainOf("w1", { model, parts });
    index.record("e1", chain.slice(0, 2), 0);
    index.record("e2", chain.slice(1), 0);
    t.deepEqual(index.holders(chain, 500), [{ holder: "e1", tokens: 30 }]);
    t.deepEqual(index.holders(chainOf("w2", { model, parts }), 500), []);
    t.deepEqual(index.holders(chainOf("w1", { model: "other" as ModelName, parts }), 500), []);
    t.deepEqual(index.holders(chain, 1_500), []);
    index.forget("e1");
    t.deepEqual(index.holders(chain, 500), []);
});

test("prefix index: an update to the peers lists each part once, all parts included as all take up room", t => {
    const chain = chainOf("w1", { model, parts: [{ id: "a", tokens: 10 }, { id: "b", tokens: 20 }] });
    const index = createPrefixIndex(() => ({ expiryMs: 1_000, size: 1_000 }));
    index.record("e1", chain, 0);
    index.record("e1", chain, 0);
    t.deepEqual(index.drainUpdates(), [["e1", chain]]);
    t.deepEqual(index.drainUpdates(), []);
    const other = createPrefixIndex(() => ({ expiryMs: 1_000, size: 1_000 }));
    other.receiveParts("e1", chain, 0);
    t.deepEqual(other.holders(chain, 500), [{ holder: "e1", tokens: 30 }]);
});

// A part that an engine has evicted still counts as cached, is not fetched, and has to be prefilled again.
const fillings: readonly { readonly name: string; readonly others: number; readonly isHeld: boolean; }[] = [
    { name: "it still holds the manual after a few prompts", others: 3, isHeld: true },
    { name: "it still holds the manual with as many prompts as just fit beside it", others: 9, isHeld: true },
    { name: "one more prompt evicts the manual", others: 10, isHeld: false },
];
fillings.forEach(({ name, others, isHeld }) => {
    test(`prefix index of a full engine: ${name}`, t => {
        const index = createPrefixIndex(() => ({ expiryMs: 8_000, size: 100_000 }));
        const manual = chainOf("w1", { model, parts: [{ id: "manual", tokens: 10_000 }] });
        index.record("e1", manual, 0);
        Array.from({ length: others }, (_, i) => chainOf("w1", { model, parts: [{ id: `own${i}`, tokens: 10_000 }] }))
            .forEach((own, i) => index.record("e1", own, 10 * i));
        t.is(index.holders(manual, 2_000).length === 1, isHeld);
    });
});

test("prefix index of a full engine: reused parts stay, and the end of a prompt is evicted before its beginning", t => {
    const index = createPrefixIndex(() => ({ expiryMs: 8_000, size: 30 }));
    const first = chainOf("w1", { model, parts: [{ id: "a", tokens: 10 }, { id: "b", tokens: 10 }] });
    index.record("e1", first, 0);
    index.record("e1", chainOf("w1", { model, parts: [{ id: "c", tokens: 10 }] }), 1);
    index.record("e1", first, 2);
    index.record("e1", chainOf("w1", { model, parts: [{ id: "d", tokens: 20 }] }), 3);
    t.deepEqual(index.holders(first, 4), [{ holder: "e1", tokens: 10 }]);
});
