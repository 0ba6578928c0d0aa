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

// Copies of a crashing request run at once, or two suspects meet on one endpoint, and one endpoint more goes.
[
    { name: "nothing runs", runs: [], conflict: undefined },
    { name: "it runs elsewhere", runs: [run("poison", "engine-2")], conflict: "request-busy" },
    { name: "it runs elsewhere and is answered", runs: [run("poison", "engine-2", true)], conflict: "request-busy" },
    { name: "another suspect is there", runs: [run("question", "engine-1")], conflict: "endpoint-busy" },
    { name: "another suspect is answered there", runs: [run("question", "engine-1", true)], conflict: undefined },
    { name: "another suspect is elsewhere", runs: [run("question", "engine-2")], conflict: undefined },
    { name: "others that are no suspects are there", runs: [run("hello", "engine-1")], conflict: undefined },
    {
        name: "both",
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
