import { EndpointName, refusalOf } from "@azureshunt/core";
import test from "ava";
import { Left, Right } from "purify-ts";

import type { DispatchParts } from "../../dispatch/DispatchParts.js";
import { placeAdmitted } from "../../dispatch/placeAdmitted.js";
import type { Admission } from "../../ports/Admission.js";
import type { Call } from "../../ports/Call.js";

const ENDPOINTS = ["engine-1", "engine-2", "engine-3"].map(name => EndpointName.parse(name));

type Case = {
    readonly name: string;
    /** What the other VMs say to one asking after the other. */
    readonly admissions: readonly Admission[];
    readonly deadline: number;
    readonly placed: string;
    /** Endpoints that were chosen and given back. */
    readonly givenBack: readonly string[];
};

// A suspect that is sent out against what other VMs run brings down one more engine.
const cases: readonly Case[] = [
    { name: "admitted", admissions: ["admitted"], deadline: Infinity, placed: "engine-1", givenBack: [] },
    {
        name: "it goes elsewhere where another suspect is",
        admissions: ["endpoint-busy", "endpoint-busy", "admitted"],
        deadline: Infinity,
        placed: "engine-3",
        givenBack: ["engine-1", "engine-2"],
    },
    {
        name: "it waits while it runs at another VM",
        admissions: ["request-busy", "admitted"],
        deadline: Infinity,
        placed: "engine-1",
        givenBack: ["engine-1"],
    },
    {
        name: "it is refused once its deadline has passed",
        admissions: ["request-busy"],
        deadline: 0,
        placed: "deadline-exceeded",
        givenBack: ["engine-1"],
    },
];

cases.forEach(({ name, admissions, deadline, placed, givenBack }) =>
    test(`placing a suspect: ${name}`, async t => {
        const left = [...admissions];
        const ended: string[] = [];
        const parts = {
            ctx: { clock: { now: () => 1 }, release: { subscribe: () => () => undefined } },
            recheck: (call: Call) => Right(call),
            suspects: { check: (call: Call) => Right(call), admit: async () => left.shift() },
            placement: {
                place: async (_call: Call, tried: readonly EndpointName[]) => {
                    const endpoint = ENDPOINTS.find(each => !tried.includes(each));
                    return endpoint === undefined
                        ? Left(refusalOf("no-endpoint"))
                        : Right({ endpoint, end: () => ended.push(endpoint) });
                },
            },
        } as unknown as DispatchParts;
        const call = { deadline, signal: new AbortController().signal } as Call;
        const result = await placeAdmitted(parts, call, []);
        const found = result.caseOf<string>({
            Left: end => "refusal" in end ? end.refusal.kind : end.kind,
            Right: placement => placement.endpoint,
        });
        t.is(found, placed);
        t.deepEqual(ended, givenBack);
    })
);
