import type { FailureDomain } from "@azureshunt/core";
import { AdapterName, EndpointName, ModelName, WeightsVersion } from "@azureshunt/core";
import type { Configuration } from "@azureshunt/release";
import { EndpointSpec, ModelSpec } from "@azureshunt/release";
import test from "ava";

import type { ObservedEngine } from "../../ObservedEngine.js";
import { planOrders } from "../../planOrders.js";
import { trafficVersion } from "../../trafficVersion.js";
import type { Weights } from "../../Weights.js";

const MODEL = ModelName.parse("advisor");
const weights = (version: string, adapter?: string): Weights => ({
    model: MODEL,
    adapter: adapter === undefined ? undefined : AdapterName.parse(adapter),
    version: WeightsVersion.parse(version),
});
const engine = (name: string, holds: readonly Weights[], loading: readonly Weights[] = []): ObservedEngine => ({
    name: EndpointName.parse(name),
    holds,
    loading,
});
const cfgOf = (names: readonly string[], leaving: readonly string[] = [], adapters: readonly string[] = []) => {
    const endpoints = names.map(name =>
        EndpointSpec.parse({
            name,
            kind: "model",
            failureDomain: "fd" as FailureDomain,
            url: "http://127.0.0.1:1",
            models: [MODEL],
            leaving: leaving.includes(name),
        })
    );
    const model = ModelSpec.parse({ name: MODEL, version: "v2", adapters });
    const cfg: Configuration = {
        revision: 1,
        organisations: new Map(),
        keys: new Map(),
        models: new Map([[MODEL, model]]),
        services: new Map(),
        endpoints: new Map(endpoints.map(spec => [spec.name, spec])),
        withdrawnKeys: new Map(),
    };
    return cfg;
};
const plan = (
    engines: readonly ObservedEngine[],
    more: { leaving?: string[]; adapters?: string[]; busy?: string[]; maxLoads?: number; mayUnload?: boolean; } = {},
) => planOrders({
    cfg: cfgOf(engines.map(each => each.name), more.leaving, more.adapters),
    engines,
    busy: new Set((more.busy ?? []).map(name => EndpointName.parse(name))),
    maxLoads: more.maxLoads ?? 2,
    mayUnload: () => more.mayUnload ?? true,
}).map(order => `${order.action} ${order.weights.version}${order.weights.adapter ?? ""} at ${order.endpoint}`);

[
    { name: "no order if all is as declared", engines: [engine("a", [weights("v2")])], expected: [] },
    { name: "loads a new version", engines: [engine("a", [weights("v1")])], expected: ["load v2 at a"] },
    {
        name: "unloads the old version once the new one is loaded",
        engines: [engine("a", [weights("v1"), weights("v2")])],
        expected: ["unload v1 at a"],
    },
    {
        name: "no order while the weights are loading",
        engines: [engine("a", [weights("v1")], [weights("v2")])],
        expected: [],
    },
    { name: "loads weights at an engine without any", engines: [engine("a", [])], expected: ["load v2 at a"] },
].forEach(({ name, engines, expected }) =>
    test(`fleet: ${name}`, t => {
        t.deepEqual(plan(engines), expected);
    })
);

test("fleet: old weights stay while a request may still need them", t => {
    t.deepEqual(plan([engine("a", [weights("v1"), weights("v2")])], { mayUnload: false }), []);
});

test("fleet: adapters are loaded in addition to their model", t => {
    t.deepEqual(plan([engine("a", [weights("v2")])], { adapters: ["tyres"] }), ["load v2tyres at a"]);
});

test("fleet: the number of concurrent loads is limited", t => {
    const cold = ["a", "b", "c"].map(name => engine(name, []));
    t.is(plan(cold, { maxLoads: 2 }).length, 2);
    t.is(plan([engine("z", [], [weights("v2")]), ...cold], { maxLoads: 2 }).length, 1);
});

test("fleet: engines that are leaving or have an order in progress get no order", t => {
    t.deepEqual(plan([engine("a", []), engine("b", [])], { leaving: ["a"], busy: ["b"] }), []);
});

[
    { name: "new version at half of the replicas", v1: 2, v2: 2, current: "v1", expected: "v2" },
    { name: "too few replicas hold the new version", v1: 3, v2: 1, current: "v1", expected: "v1" },
    { name: "replicas with the new version crashed after the change", v1: 3, v2: 1, current: "v2", expected: "v2" },
    { name: "daemon restarted during a change", v1: 3, v2: 1, current: undefined, expected: "v1" },
    { name: "no replica holds any version", v1: 0, v2: 0, current: "v1", expected: "v2" },
].forEach(({ name, v1, v2, current, expected }) =>
    test(`traffic version: ${name}`, t => {
        const holders = new Map([["v1", v1], ["v2", v2]].map(([v, n]) => [WeightsVersion.parse(v), n as number]));
        const before = current === undefined ? undefined : WeightsVersion.parse(current);
        const spec = ModelSpec.parse({ name: MODEL, version: "v2" });
        t.is(trafficVersion(spec, 4, holders, before) as string, expected);
    })
);
