import type { VmId } from "@azureshunt/core";
import test from "ava";
import { Writable } from "node:stream";
import { pino } from "pino";

import { createDeclarationLog } from "../../knowledge/createDeclarationLog.js";
import type { DeclarationEvent } from "../../knowledge/DeclarationEvent.js";
import { initialDeclaredState } from "../../knowledge/initialDeclaredState.js";
import type { ReadOrigin } from "../../knowledge/ReadOrigin.js";
import { stepDeclaredState } from "../../knowledge/stepDeclaredState.js";
import { createVirtualTime } from "../support/createVirtualTime.js";
import { routingOf } from "../support/routingOf.js";

type Step = { readonly event: DeclarationEvent; readonly origin?: ReadOrigin; };
type Case = {
    readonly name: string;
    readonly steps: readonly Step[];
    /** Fields of the last line; `undefined` if there is no line. */
    readonly line: Readonly<Record<string, unknown>> | undefined;
};

const read: Step = {
    event: { kind: "configuration", configuration: routingOf(3, []) },
    origin: { from: "store", offset: 7, readMs: 12 },
};
const confirmed: Step = {
    event: { kind: "confirmed", revision: 3, asOf: -40, stampedAt: -30, by: "vm-2" as VmId },
};
const newer: Step = { event: { kind: "confirmed", revision: 5, asOf: -1, stampedAt: -1, by: "vm-4" as VmId } };

const cases: readonly Case[] = [
    {
        name: "a configuration, with where it was read",
        steps: [read],
        line: { msg: "Configuration in force.", revision: 3, from: "store", offset: 7, readMs: 12 },
    },
    { name: "a confirmation alone is not logged", steps: [confirmed], line: undefined },
    {
        name: "a peer has a newer revision, with who confirmed the own one and when",
        steps: [read, confirmed, newer],
        line: {
            msg: "A newer revision exists.",
            by: "vm-4",
            revision: 3,
            newestRevision: 5,
            confirmedBy: "vm-2",
            confirmedMs: 40,
        },
    },
    {
        name: "a newer revision is logged once",
        steps: [read, newer, newer],
        line: { msg: "A newer revision exists.", by: "vm-4", revision: 3, newestRevision: 5 },
    },
];

// Logs do not tell which revision decided a request, where it was read, or who confirmed it as of when.
cases.forEach(({ name, steps, line }) => {
    test(`declaration log: ${name}`, t => {
        const lines: string[] = [];
        const sink = new Writable({
            write: (chunk: Buffer, _, done) => {
                lines.push(chunk.toString());
                done();
            },
        });
        const { clock } = createVirtualTime();
        const log = createDeclarationLog(pino({ base: null, timestamp: false }, sink), clock);
        steps.reduce((before, { event, origin }) => {
            const after = stepDeclaredState(before, event, clock.now());
            log.recordEvent(event, before, after, origin);
            return after;
        }, { ...initialDeclaredState, newestRevision: 3 });
        const [last] = lines.slice(-1).map(each => JSON.parse(each) as Record<string, unknown>);
        t.deepEqual(last, line === undefined ? undefined : { level: 30, ...line });
        t.true(lines.length <= 2);
    });
});
