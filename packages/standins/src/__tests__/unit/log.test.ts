import test from "ava";

import { appendRecords } from "../../platform/appendRecords.js";
import { consumeAppend } from "../../platform/consumeAppend.js";
import { emptyStream } from "../../platform/emptyStream.js";
import { expireRecords } from "../../platform/expireRecords.js";
import { readRecords } from "../../platform/readRecords.js";
import { reserveTransfer } from "../../platform/reserveTransfer.js";

const NEVER = Number.POSITIVE_INFINITY;

/** Records "a" to "d", appended every 10 ms from 0 on. */
const filled = ["a", "b", "c", "d"].reduce(
    (stream, id, i) => appendRecords(stream, [{ id, data: i }], i * 10),
    emptyStream,
);

test("log: offsets continue, and a record with a repeated id is appended again", t => {
    const again = appendRecords(filled, [{ id: "d" }, { id: "e" }], 50);
    t.deepEqual(again.records.map(({ offset, id }) => `${offset}${id}`), ["0a", "1b", "2c", "3d", "4d", "5e"]);
    t.is(again.end, 6);
});

[
    { name: "nothing expires within both limits", retention: { count: 4, ageMs: 30 }, now: 30, left: [0, 1, 2, 3] },
    { name: "records expire by count", retention: { count: 2, ageMs: NEVER }, now: 30, left: [2, 3] },
    { name: "records expire by age", retention: { count: 9, ageMs: 10 }, now: 30, left: [2, 3] },
    { name: "the tighter limit decides", retention: { count: 1, ageMs: 20 }, now: 30, left: [3] },
    { name: "all records may expire", retention: { count: 9, ageMs: 10 }, now: 100, left: [] },
].forEach(({ name, retention, now, left }) =>
    test(`log retention: ${name}`, t => {
        const stream = expireRecords(filled, retention, now);
        t.deepEqual(stream.records.map(({ offset }) => offset), left);
        t.is(stream.start, left[0] ?? 4);
        t.is(stream.end, 4);
    })
);

[
    { name: "an expired offset reads from the oldest record kept", from: 0, limit: 9, offsets: [2, 3] },
    { name: "reads from an offset in the middle", from: 3, limit: 9, offsets: [3] },
    { name: "reads at most the limit", from: 2, limit: 1, offsets: [2] },
    { name: "reads nothing at the end", from: 4, limit: 9, offsets: [] },
].forEach(({ name, from, limit, offsets }) =>
    test(`log read: ${name}`, t => {
        const stream = expireRecords(filled, { count: 2, ageMs: NEVER }, 30);
        t.deepEqual(readRecords(stream, from, limit).map(({ offset }) => offset), offsets);
    })
);

[
    {
        name: "an append within the limit of this second is counted",
        budget: { since: 0, used: 1 },
        now: 999,
        expected: { since: 0, used: 2 },
    },
    {
        name: "an append above the limit of this second is refused",
        budget: { since: 0, used: 2 },
        now: 999,
        expected: undefined,
    },
    {
        name: "the next second starts at zero",
        budget: { since: 0, used: 2 },
        now: 1_000,
        expected: { since: 1_000, used: 1 },
    },
].forEach(({ name, budget, now, expected }) =>
    test(`log append rate: ${name}`, t => {
        t.deepEqual(consumeAppend(budget, 2, now), expected);
    })
);

[
    { name: "alone takes its own duration", busyUntil: 0, now: 100, waitMs: 500 },
    { name: "after another waits for that one first", busyUntil: 400, now: 100, waitMs: 800 },
].forEach(({ name, busyUntil, now, waitMs }) =>
    test(`weight store: a transfer ${name}`, t => {
        t.is(reserveTransfer(busyUntil, 500, now).waitMs, waitMs);
    })
);
