import { EndpointName } from "@azureshunt/core";
import { fingerprintOf } from "@azureshunt/request";
import test from "ava";

import { conflictOf } from "../../suspects/conflictOf.js";
import type { SuspectRun } from "../../suspects/SuspectRun.js";

const run = (request: string, endpoint: string, isAnswering = false): SuspectRun => ({
    request: fingerprintOf([request]),
    endpoint: EndpointName.parse(endpoint),
    isAnswering,
});
const SUSPECTS = ["poison", "question"].map(name => fingerprintOf([name]));

// If copies of a crashing request run at once, or two suspects run on one endpoint, one more endpoint dies.
[
    { name: "nothing else runs → none", runs: [], conflict: undefined },
    { name: "it runs at another endpoint → request-busy", runs: [run("poison", "engine-2")], conflict: "request-busy" },
    {
        name: "its answer has begun at another endpoint → request-busy",
        runs: [run("poison", "engine-2", true)],
        conflict: "request-busy",
    },
    {
        name: "another suspect runs at the endpoint → endpoint-busy",
        runs: [run("question", "engine-1")],
        conflict: "endpoint-busy",
    },
    {
        name: "the answer of another suspect has begun at the endpoint → none",
        runs: [run("question", "engine-1", true)],
        conflict: undefined,
    },
    {
        name: "another suspect runs at another endpoint → none",
        runs: [run("question", "engine-2")],
        conflict: undefined,
    },
    {
        name: "a request that is no suspect runs at the endpoint → none",
        runs: [run("hello", "engine-1")],
        conflict: undefined,
    },
    {
        name: "it runs elsewhere and another suspect runs at the endpoint → request-busy",
        runs: [run("question", "engine-1"), run("poison", "engine-2")],
        conflict: "request-busy",
    },
].forEach(({ name, runs, conflict }) =>
    test(`conflicts of a suspect: ${name}`, t => {
        const found: string | undefined = conflictOf(
            runs,
            run("poison", "engine-1"),
            request => SUSPECTS.includes(request),
        );
        t.is(found, conflict);
    })
);
