import test from "ava";

import { acceptWithin } from "../../analysis/acceptWithin.js";
import type { CacheUse } from "../../analysis/CacheUse.js";
import { countWithheld } from "../../analysis/countWithheld.js";
import { parseMetrics } from "../../analysis/parseMetrics.js";
import { percentilesOf } from "../../analysis/percentilesOf.js";
import { replayCaches } from "../../analysis/replayCaches.js";
import { shiftRecovery } from "../../analysis/shiftRecovery.js";

const ALLOWED = { organisation: "a", rate: 10, burst: 20, atStart: 20 };

const spend = (at: number, cost: number, accepted: boolean) => ({ organisation: "a", at, cost, accepted });

[
    { name: "a refusal with a full bucket", spendings: [spend(0, 20, false)], withheld: 1 },
    { name: "a refusal beyond the burst", spendings: [spend(0, 21, false)], withheld: 0 },
    { name: "what was accepted counts", spendings: [spend(0, 20, true), spend(0, 1, false)], withheld: 0 },
    { name: "two refusals where one was due", spendings: [spend(0, 20, false), spend(0, 20, false)], withheld: 1 },
    { name: "another one in place of the first", spendings: [spend(0, 20, false), spend(0, 20, true)], withheld: 0 },
    { name: "the rate refills", spendings: [spend(0, 20, true), spend(1_000, 10, false)], withheld: 1 },
    { name: "the burst bounds it", spendings: [spend(9_000, 21, false)], withheld: 0 },
].forEach(({ name, spendings, withheld }) =>
    test(`wrongful refusals: ${name}`, t => {
        t.is(countWithheld(ALLOWED, spendings, 0), withheld);
    })
);

test("wrongful refusals: an allowance begins with what it says", t => {
    t.is(countWithheld({ ...ALLOWED, atStart: 0 }, [spend(0, 1, false), spend(1_000, 10, false)], 0), 1);
});

test("what is due: the burst at once, then the rate", t => {
    const offered = [0, 0, 0, 500, 1_000].map(at => spend(at, 10, false));
    t.deepEqual(acceptWithin(ALLOWED, offered).map(({ at }) => at), [0, 0, 1_000]);
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
    { name: "the best engine counts", other: [change(1, ["p", "q"], [])], oracleTokens: 8 },
    { name: "only what it holds then", other: [change(3, ["p", "q"], [])], oracleTokens: 0 },
    { name: "not what it has dropped", other: [change(1, ["p", "q"], []), change(1.5, [], ["q"])], oracleTokens: 4 },
    { name: "not what it lost with its life", other: [change(1, ["p"], []), start(1.5)], oracleTokens: 0 },
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
    { name: "at once", uses: [use(1_100, 9)], seconds: 1 },
    { name: "after two bad seconds", uses: [use(1_100, 0), use(2_100, 1), use(3_100, 8)], seconds: 3 },
    { name: "never", uses: [use(1_100, 0)], seconds: undefined },
].forEach(({ name, uses, seconds }) =>
    test(`hot prefix shift: back ${name}`, t => {
        t.is(shiftRecovery(uses, 1_000, 0.8), seconds);
    })
);

test("percentiles: of a hundred times", t => {
    const { count, p50, p99 } = percentilesOf(Array.from({ length: 100 }, (_, i) => i + 1));
    t.is(count, 100);
    t.true(Math.abs(p50 - 50) < 0.1 && Math.abs(p99 - 99) < 0.1);
});

test("metrics: names, labels and values", t => {
    t.deepEqual(parseMetrics("# HELP a b\na_total{kind=\"x\"} 3\nb 1.5\n"), [
        { name: "a_total", labels: "{kind=\"x\"}", value: 3 },
        { name: "b", labels: "", value: 1.5 },
    ]);
});
