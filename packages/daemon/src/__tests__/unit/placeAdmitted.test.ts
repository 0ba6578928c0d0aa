import { EndpointName, refusalOf } from "@azureshunt/core";
import test from "ava";
import { Left, Right } from "purify-ts";

import type { DispatchParts } from "../../dispatch/DispatchParts.js";
import { placeAdmitted } from "../../dispatch/placeAdmitted.js";
import type { AdmissionResult } from "../../ports/AdmissionResult.js";
import type { Call } from "../../ports/Call.js";

const ENDPOINTS = ["engine-1", "engine-2", "engine-3"].map(name => EndpointName.parse(name));

type Case = {
    readonly name: string;
    /** Results of the admission checks, in order. */
    readonly admissions: readonly AdmissionResult[];
    readonly deadline: number;
    readonly placed: string;
    /** Endpoints that were chosen and then released. */
    readonly released: readonly string[];
};

// A suspect that is sent to an endpoint without regard to what other VMs run could crash one more engine.
const cases: readonly Case[] = [
    { name: "admitted", admissions: ["admitted"], deadline: Infinity, placed: "engine-1", released: [] },
    {
        name: "tries another endpoint while another suspect runs at the chosen one",
        admissions: ["endpoint-busy", "endpoint-busy", "admitted"],
        deadline: Infinity,
        placed: "engine-3",
        released: ["engine-1", "engine-2"],
    },
    {
        name: "waits while the request runs at another VM",
        admissions: ["request-busy", "admitted"],
        deadline: Infinity,
        placed: "engine-1",
        released: ["engine-1"],
    },
    {
        name: "refused once its deadline has expired",
        admissions: ["request-busy"],
        deadline: 0,
        placed: "deadline-exceeded",
        released: ["engine-1"],
    },
];

cases.forEach(({ name, admissions, deadline, placed, released }) =>
    test(`placing a suspect: ${name}`, async t => {
        const remaining = [...admissions];
        const ended: string[] = [];
        const parts = {
            ctx: { clock: { now: () => 1 }, release: { subscribe: () => () => undefined } },
            recheck: (call: Call) => Right(call),
            suspects: { check: (call: Call) => Right(call), admit: async () => remaining.shift() },
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
        t.deepEqual(ended, released);
    })
);
