import { Incarnation, VmId } from "@azureshunt/core";
import test from "ava";

import { createPeerEnds } from "../../peers/createPeerEnds.js";

const vm = VmId.parse("v");
const [first, second, third] = ["1", "2", "3"].map(id => Incarnation.parse(id)) as [
    Incarnation,
    Incarnation,
    Incarnation,
];

const cases = [
    { name: "nothing was received of it", stopped: [], previous: undefined, end: "unknown" },
    { name: "it sent a final beacon", stopped: [second], previous: undefined, end: "stopped" },
    {
        name: "it sent a final beacon and an earlier one was overtaken by it",
        stopped: [second],
        previous: second,
        end: "stopped",
    },
    { name: "it sent none", stopped: [], previous: second, end: "unannounced" },
    { name: "the one before it sent one", stopped: [first], previous: second, end: "unannounced" },
] as const;

// Guards against an end that cannot be told from outside, once the output of a process is lost.
cases.forEach(({ name, stopped, previous, end }) => {
    test(`peer ends: how a process ended is known when the next one starts: ${name}`, t => {
        const ends = createPeerEnds();
        stopped.forEach(incarnation => ends.observe({ vm, incarnation, isLeaving: true }));
        t.is(ends.endBefore(vm, third, previous), end);
    });
});
