import test from "ava";

import type { EndpointStatement } from "../../EndpointStatement.js";
import { isSameRun } from "../../isSameRun.js";

const BORN_AT = 1_700_000_000_000;
const LATE_MS = 100;

type Answer = Extract<EndpointStatement, { readonly kind: "answer"; }>;
const answer: Answer = { kind: "answer", bornAt: undefined, isOnKeptConnection: false, tookMs: 3 };
const born = (later: number, tookMs: number): Answer => ({ ...answer, bornAt: BORN_AT + later, tookMs });

type Case = {
    readonly name: string;
    readonly statement: EndpointStatement;
    readonly bornAt?: number;
    readonly isSame: boolean;
};

// Guards against an endpoint that was killed, and started again at its address, passing for the one that answered.
const cases: readonly Case[] = [
    { name: "it says nothing", statement: { kind: "none" }, isSame: false },
    { name: "another one has its address", statement: { kind: "elsewhere" }, isSame: false },
    { name: "it answers at once", statement: answer, isSame: true },
    { name: "it answers at once, and its entry is of an earlier run", statement: born(1, 3), isSame: false },
    { name: "it answers at once, and its entry states no start", statement: born(0, 3), bornAt: 0, isSame: true },
    { name: "it answers late, and states no start", statement: { ...answer, tookMs: LATE_MS }, isSame: false },
    { name: "it answers late, and states the same start", statement: born(0, LATE_MS), isSame: true },
    { name: "it answers late, and states a later start", statement: born(1, LATE_MS), isSame: false },
    { name: "it answers late, and its entry states no start", statement: born(0, LATE_MS), bornAt: 0, isSame: false },
    { name: "neither states a start", statement: { ...born(0, LATE_MS), bornAt: 0 }, bornAt: 0, isSame: false },
    {
        name: "it answers late on a kept connection",
        statement: { ...answer, tookMs: LATE_MS, isOnKeptConnection: true },
        isSame: true,
    },
    {
        name: "it answers late on a kept connection, and its entry is of an earlier run",
        statement: { ...born(1, LATE_MS), isOnKeptConnection: true },
        isSame: false,
    },
];

cases.forEach(({ name, statement, bornAt = BORN_AT, isSame }) => {
    test(`endpoint asked after its answer: ${name}: ${isSame ? "the same run" : "not shown to be the same run"}`, t => {
        t.is(isSameRun(statement, bornAt), isSame);
    });
});
