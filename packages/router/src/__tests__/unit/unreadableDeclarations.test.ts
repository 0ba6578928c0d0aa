import { createClock } from "@azureshunt/core";
import test from "ava";
import { Left, Right } from "purify-ts";

import { EndpointAgent } from "../../dispatch/EndpointAgent.js";
import { startDeclarations } from "../../knowledge/startDeclarations.js";
import { declarationParts } from "../support/declarationParts.js";
import { routingOf } from "../support/routingOf.js";

type Case = {
    readonly name: string;
    /** Keys and values of the records after the first configuration; `bad` cannot be decoded. */
    readonly records: readonly (readonly [string, string])[];
    readonly revision: number;
    readonly isConfirmed: boolean;
};

const cases: readonly Case[] = [
    { name: "none", records: [["weights", "1"]], revision: 1, isConfirmed: true },
    { name: "target weights", records: [["weights", "bad"]], revision: 1, isConfirmed: true },
    {
        name: "target weights, then a configuration",
        records: [["weights", "bad"], ["config", "2"]],
        revision: 2,
        isConfirmed: true,
    },
    { name: "a configuration", records: [["config", "bad"]], revision: 1, isConfirmed: false },
    {
        name: "a configuration, then target weights",
        records: [["config", "bad"], ["weights", "1"]],
        revision: 1,
        isConfirmed: false,
    },
    {
        name: "a configuration, then one that can be decoded",
        records: [["config", "bad"], ["config", "2"]],
        revision: 2,
        isConfirmed: true,
    },
];

// A record of weights or of a rollout that cannot be decoded keeps the configuration from being confirmed, so that all
// requests with keys are refused until the next configuration; or one of a configuration does not.
cases.forEach(({ name, records, revision, isConfirmed }) => {
    test(`unreadable declarations: ${name}`, async t => {
        const clock = createClock();
        const seen = { reads: 0 };
        const pages = [
            ...records.map(([key, value], i) => ({ records: [{ offset: 1 + i, key, value: Buffer.from(value) }] })),
            { records: [] },
        ];
        const first = { records: [{ offset: 0, key: "config", value: Buffer.from("1") }], end: 1 };
        const store = {
            newest: () => Promise.resolve(Right(first)),
            read: (_: string, from: number) => {
                seen.reads += 1;
                const page = pages[from - 1] ?? { records: [] };
                return Promise.resolve(Right({ ...page, end: Math.min(1 + records.length, from + 1) }));
            },
        };
        const decode = (key: string, value: string) =>
            key === "config"
                ? { kind: "configuration", configuration: routingOf(Number(value), []) }
                : { kind: "weights", model: "m", version: Number(value) };
        const agent = new EndpointAgent(clock.now);
        const decodeDeclaration = (key: string, value: Buffer) =>
            value.toString() === "bad" ? Left("not JSON") : Right(decode(key, value.toString()));
        const declarations = startDeclarations(declarationParts({ clock, agent, store, decodeDeclaration }));
        t.teardown(() => {
            declarations.stop();
            agent.destroy();
        });
        const readsUntil = async (reads: number): Promise<void> => {
            while (seen.reads < reads) {
                await new Promise(done => setTimeout(done, 5));
            }
        };
        await readsUntil(records.length + 1);
        const readAt = clock.now();
        await readsUntil(records.length + 4);
        t.is(declarations.current().configuration?.revision, revision);
        t.is(declarations.current().confirmedAt > readAt, isConfirmed);
    });
});
