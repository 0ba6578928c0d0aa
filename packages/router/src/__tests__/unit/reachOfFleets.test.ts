import type { Millis } from "@azureshunt/core";
import test from "ava";

import { drawReachScenario } from "../support/drawReachScenario.js";
import { simulateReach } from "../support/simulateReach.js";

type Scenario = Parameters<typeof simulateReach>[0];
type Result = Awaited<ReturnType<typeof simulateReach>>[number];

const CUT_AT: Millis = 1_000;
/** From then on, each connection must open that any live VM could open. */
const NOTICED_MS: Millis = 1_000;
/** The same after cuts, kills and restarts that overlap, and leave as little as one VM of a hundred. */
const STABLE_MS: Millis = 5_000;
/** Time after the end of a cut by which VMs open connections over own links again. */
const OWN_LINKS_MS: Millis = 2_000;
const SEEDS = Number(process.env["REACH_SEEDS"] ?? 12);
const FIRST_SEED = Number(process.env["REACH_FIRST_SEED"] ?? 1);

const small = { a: 2, b: 2, c: 2 };
const medium = { a: 20, b: 21, c: 20 };
const large = { a: 39, b: 39, c: 39, d: 39, e: 39 };
const largest = { a: 102, b: 103, c: 102, d: 103 };

const vmsOf = (domains: Scenario["domains"], domain: string, from = 1): readonly string[] =>
    Array.from({ length: (domains[domain] ?? 0) - from + 1 }, (_, i) => `${domain}${i + from}`);

type Case = {
    readonly name: string;
    readonly domains: Scenario["domains"];
    readonly cutOff: readonly string[];
    readonly service?: "lm" | "desk";
    readonly killed?: readonly string[];
    readonly perSecond?: number;
};

const cases: readonly Case[] = [
    { name: "one domain of two VMs", domains: small, cutOff: vmsOf(small, "a") },
    { name: "a third of a domain of 21", domains: medium, cutOff: vmsOf(medium, "b", 15) },
    { name: "two thirds of a domain of 21", domains: medium, cutOff: vmsOf(medium, "b", 8) },
    { name: "all but one of a domain of 21", domains: medium, cutOff: vmsOf(medium, "b", 2) },
    { name: "a domain of 21", domains: medium, cutOff: vmsOf(medium, "b") },
    { name: "a domain of 21 from one service", domains: medium, cutOff: vmsOf(medium, "b"), service: "lm" },
    { name: "a domain of 21 from a service of three", domains: medium, cutOff: vmsOf(medium, "b"), service: "desk" },
    { name: "two of three domains", domains: medium, cutOff: [...vmsOf(medium, "a"), ...vmsOf(medium, "b")] },
    {
        name: "a third of each domain and one whole domain",
        domains: medium,
        cutOff: [...vmsOf(medium, "a", 14), ...vmsOf(medium, "b"), ...vmsOf(medium, "c", 14)],
    },
    {
        name: "all VMs but one",
        domains: medium,
        cutOff: [...vmsOf(medium, "a"), ...vmsOf(medium, "b"), ...vmsOf(medium, "c", 2)],
    },
    {
        name: "a domain of 21, while relays of the others are killed",
        domains: medium,
        cutOff: vmsOf(medium, "b"),
        killed: ["a1", "c1", "c2"],
    },
    { name: "a domain of 39", domains: large, cutOff: vmsOf(large, "b") },
    { name: "a domain of 103", domains: largest, cutOff: vmsOf(largest, "b"), perSecond: 2 },
    { name: "all but one of a domain of 103", domains: largest, cutOff: vmsOf(largest, "b", 2), perSecond: 2 },
];

const scenarioOf = (
    { domains, cutOff, service, killed = [], perSecond = 6 }: Case,
    kind: "hang" | "reset",
): Scenario => ({
    seed: 1,
    domains,
    events: [
        { at: CUT_AT, vms: cutOff, kind, ...(service === undefined ? {} : { service }) },
        { at: CUT_AT, vms: killed, kind: "kill" },
    ],
    lengthMs: 5_000,
    perSecond,
    endpoints: 60,
});

const unopened = (results: readonly Result[]): readonly string[] =>
    results
        .filter(({ kind }) => kind === "none")
        .map(({ at, vm, service }) => `${vm} to ${service} at ${Math.round(at)} ms`);

// Guards against VMs of a failure domain asking only each other for connections, and against each VM having to find the few
// that can help by itself.
cases.forEach(each =>
    (["hang", "reset"] as const).forEach(kind => {
        test(`reach: links of ${each.name} ${kind}: others open all connections`, async t => {
            const results = await simulateReach(scenarioOf(each, kind));
            const later = results.filter(({ at }) => at >= CUT_AT + NOTICED_MS);
            t.true(later.length > 0);
            t.deepEqual(unopened(later), []);
        });
    })
);

// Guards against a few relays carrying the traffic of a whole failure domain of another one.
test("reach: the VMs of other domains share the connections of one that is cut off", async t => {
    const results = await simulateReach({
        ...scenarioOf({ name: "", domains: largest, cutOff: vmsOf(largest, "b"), perSecond: 6 }, "hang"),
        lengthMs: 6_000,
    });
    const through = results.filter(({ at }) => at >= CUT_AT + NOTICED_MS).flatMap(result => result.through ?? []);
    const relays = ["a1", "a2", "c1", "c2", "d1", "d2"];
    const byRelays = through.filter(vm => relays.includes(vm)).length;
    t.true(new Set(through).size > 200, `${new Set(through).size} VMs helped`);
    t.true(byRelays < through.length / 4, `${byRelays} of ${through.length} through relays`);
});

// Guards against bytes between failure domains while VMs of the own domain could help.
test("reach: peers of the own domain are used while some of them can help", async t => {
    const { domains, cutOff } = { domains: medium, cutOff: vmsOf(medium, "b", 8) };
    const results = await simulateReach({
        ...scenarioOf({ name: "", domains, cutOff }, "hang"),
        lengthMs: 8_000,
    });
    const through = results.filter(({ at }) => at >= CUT_AT + STABLE_MS).flatMap(result => result.through ?? []);
    const fromOwn = through.filter(vm => vm.startsWith("b")).length;
    t.true(fromOwn > 0.9 * through.length, `${fromOwn} of ${through.length}`);
});

// Guards against callers waiting for the time limit of a connection that no VM can open.
test("reach: a fleet that is cut off as a whole refuses most requests at once, and reaches endpoints again by itself", async t => {
    const all = Object.keys(medium).flatMap(domain => vmsOf(medium, domain));
    const healedAt = 8_000;
    const results = await simulateReach({
        seed: 1,
        domains: medium,
        events: [{ at: CUT_AT, vms: all, kind: "hang" }, { at: healedAt, vms: all, kind: "heal" }],
        lengthMs: healedAt + OWN_LINKS_MS + NOTICED_MS,
        perSecond: 6,
        endpoints: 60,
    });
    const during = results.filter(({ at, tookMs }) => at >= CUT_AT + STABLE_MS && at + tookMs < healedAt);
    const prompt = during.filter(({ tookMs }) => tookMs < 50);
    t.true(prompt.length > during.length / 2, `${prompt.length} of ${during.length}`);
    const after = results.filter(({ at }) => at >= healedAt + OWN_LINKS_MS);
    t.deepEqual(unopened(after), []);
    t.true(after.filter(({ kind }) => kind === "new").length > 0.9 * after.length);
});

Array.from({ length: SEEDS }, (_, i) => i + FIRST_SEED).forEach(seed => {
    test(`reach: cuts, kills and restarts that overlap, seed ${seed}: what any VM reaches, all reach`, async t => {
        const scenario = drawReachScenario(seed);
        const lastAt = Math.max(...scenario.events.map(({ at }) => at));
        const results = await simulateReach(scenario);
        const later = results.filter(({ at, reachableSince }) =>
            at >= lastAt + STABLE_MS && reachableSince !== undefined
        );
        t.deepEqual(unopened(later), []);
    });
});
