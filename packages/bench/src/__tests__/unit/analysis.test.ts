import test from "ava";

import { acceptWithinAllowance } from "../../analysis/acceptWithinAllowance.js";
import type { CacheUse } from "../../analysis/CacheUse.js";
import { countWrongfulRefusals } from "../../analysis/countWrongfulRefusals.js";
import { parseMetrics } from "../../analysis/parseMetrics.js";
import { percentilesOf } from "../../analysis/percentilesOf.js";
import { replayCaches } from "../../analysis/replayCaches.js";
import { shiftRecoverySeconds } from "../../analysis/shiftRecoverySeconds.js";

const ALLOWED = { organisation: "a", rate: 10, burst: 20, initialTokens: 20 };

const spend = (at: number, cost: number, accepted: boolean) => ({ organisation: "a", at, cost, accepted });

[
    { name: "counts a refusal with a full bucket", requests: [spend(0, 20, false)], wrongful: 1 },
    { name: "does not count a refusal beyond the burst", requests: [spend(0, 21, false)], wrongful: 0 },
    {
        name: "does not count a refusal after the burst was spent",
        requests: [spend(0, 20, true), spend(0, 1, false)],
        wrongful: 0,
    },
    {
        name: "counts one of two refusals if only one fits",
        requests: [spend(0, 20, false), spend(0, 20, false)],
        wrongful: 1,
    },
    {
        name: "does not count a refusal if another request was accepted instead",
        requests: [spend(0, 20, false), spend(0, 20, true)],
        wrongful: 0,
    },
    {
        name: "counts a refusal after the rate refilled the bucket",
        requests: [spend(0, 20, true), spend(1_000, 10, false)],
        wrongful: 1,
    },
    { name: "refills no further than the burst", requests: [spend(9_000, 21, false)], wrongful: 0 },
].forEach(({ name, requests, wrongful }) =>
    test(`wrongful refusals: ${name}`, t => {
        t.is(countWrongfulRefusals(ALLOWED, requests, 0), wrongful);
    })
);

test("wrongful refusals: an allowance starts with its initial tokens", t => {
    t.is(countWrongfulRefusals({ ...ALLOWED, initialTokens: 0 }, [spend(0, 1, false), spend(1_000, 10, false)], 0), 1);
});

test("ideal allowance: accepts the burst at once, then the rate", t => {
    const offered = [0, 0, 0, 500, 1_000].map(at => spend(at, 10, false));
    t.deepEqual(acceptWithinAllowance(ALLOWED, offered).map(({ at }) => at), [0, 0, 1_000]);
});

const run = (at: number, pieces: readonly string[], cachedTokens: number) => ({
    kind: "run" as const,
    organisation: "a",
    dispatchId: undefined,
    model: "m",
    adapter: undefined,
    version: "v1",
    promptTokens: 10,
    cachedTokens,
    resumeFrom: 0,
    priority: 5,
    pieces,
    arrivedAt: at,
    at,
});
const change = (at: number, stored: readonly string[], removed: readonly string[]) => ({
    kind: "cache" as const,
    stored,
    removed,
    at,
});
const start = (at: number) => ({ kind: "start" as const, incarnation: "i", at });

[
    { name: "counts the engine with the largest cached prefix", other: [change(1, ["p", "q"], [])], oracleTokens: 8 },
    { name: "does not count pieces that are cached later", other: [change(3, ["p", "q"], [])], oracleTokens: 0 },
    {
        name: "does not count evicted pieces",
        other: [change(1, ["p", "q"], []), change(1.5, [], ["q"])],
        oracleTokens: 4,
    },
    {
        name: "does not count the cache of an earlier incarnation",
        other: [change(1, ["p"], []), start(1.5)],
        oracleTokens: 0,
    },
].forEach(({ name, other, oracleTokens }) =>
    test(`oracle: ${name}`, t => {
        const uses = replayCaches([
            { engine: "one", entries: [start(0), run(2, ["p", "q"], 0)] },
            { engine: "two", entries: [start(0), ...other] },
        ], 4);
        t.deepEqual(uses.map(use => use.oracleTokens), [oracleTokens]);
    })
);

const use = (at: number, cachedTokens: number): CacheUse => ({
    at,
    dispatchId: undefined,
    promptTokens: 10,
    cachedTokens,
    oracleTokens: 10,
});

[
    { name: "in the first second", uses: [use(1_100, 9)], seconds: 1 },
    { name: "after two seconds below the threshold", uses: [use(1_100, 0), use(2_100, 1), use(3_100, 8)], seconds: 3 },
    { name: "not at all", uses: [use(1_100, 0)], seconds: undefined },
].forEach(({ name, uses, seconds }) =>
    test(`hot prefix shift: recovers ${name}`, t => {
        t.is(shiftRecoverySeconds(uses, 1_000, 0.8), seconds);
    })
);

test("percentiles: match a hundred consecutive times", t => {
    const { count, p50, p99 } = percentilesOf(Array.from({ length: 100 }, (_, i) => i + 1));
    t.is(count, 100);
    t.true(Math.abs(p50 - 50) < 0.1 && Math.abs(p99 - 99) < 0.1);
});

test("metrics: parses names, labels and values", t => {
    t.deepEqual(parseMetrics("# HELP a b\na_total{kind=\"x\"} 3\nb 1.5\n"), [
        { name: "a_total", labels: "{kind=\"x\"}", value: 3 },
        { name: "b", labels: "", value: 1.5 },
    ]);
});
