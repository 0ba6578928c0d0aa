import type { Clock, RequestId } from "@azureshunt/core";
import test from "ava";
import { pino } from "pino";

import { createRequestNotes } from "../../serve/createRequestNotes.js";
import { isSampled } from "../../serve/isSampled.js";

type Line = { readonly id: string; readonly msg: string; readonly afterMs: number; };

const ids = Array.from({ length: 64 }, (_, i) => `r${i}` as RequestId);
const sampled = ids.find(isSampled) ?? ids[0] as RequestId;
const unsampled = ids.find(id => !isSampled(id)) ?? ids[0] as RequestId;

/** Records two decisions 5 ms apart, flushes in between unless the request is ordinary; returns the lines written. */
const linesOf = (id: RequestId, isOrdinary: boolean): readonly Line[] => {
    const lines: Line[] = [];
    const logger = pino({}, { write: text => lines.push(JSON.parse(text) as Line) });
    const time = { now: 100 };
    const clock: Clock = { now: () => time.now, epoch: () => time.now };
    const notes = createRequestNotes(logger, clock, id);
    notes.add("Admitted.", { tokens: 3 });
    time.now += 5;
    if (!isOrdinary) {
        notes.flush();
    }
    notes.add("Ended.", {});
    return lines;
};

// Guards against losing the lines of a failed request's first decisions, and against writing the lines of all others.
const cases = [
    { name: "a request that is not ordinary has all its lines, in order", id: unsampled, isOrdinary: false, count: 2 },
    { name: "an ordinary request has no lines", id: unsampled, isOrdinary: true, count: 0 },
    { name: "an ordinary request of the sample has all its lines", id: sampled, isOrdinary: true, count: 2 },
] as const;

cases.forEach(({ name, id, isOrdinary, count }) => {
    test(`request notes: ${name}`, t => {
        const lines = linesOf(id, isOrdinary);
        t.is(lines.length, count);
        t.deepEqual(
            lines.map(({ msg, afterMs }) => [msg, afterMs]),
            [["Admitted.", 0], ["Ended.", 5]].slice(0, count) as [string, number][],
        );
        t.true(lines.every(line => line.id === id));
    });
});
