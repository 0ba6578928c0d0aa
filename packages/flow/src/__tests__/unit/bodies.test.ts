import test from "ava";

import { bodyLevels } from "../../bodyLevels.js";
import { hasRoomForBody } from "../../hasRoomForBody.js";
import { lateBodies } from "../../lateBodies.js";
import { orderBodies } from "../../orderBodies.js";
import { pledgedBytes } from "../../pledgedBytes.js";

const MB = 1_000_000;
const query = {
    bytes: 4 * MB,
    reservedBytes: 0,
    heldBytes: 0,
    pendingBytes: 0,
    bufferBytes: 0,
    unusedMs: 0,
    budget: 12 * MB,
};

// Guards against large bodies that are all read in part, so that none of them ends.
([
    ["the first", {}, true],
    ["a second that fits beside the first", { bytes: MB, reservedBytes: 4 * MB, pendingBytes: MB }, true],
    ["one that does not fit beside two others", { reservedBytes: 8 * MB }, false],
    ["one beside answers that take the room", { bytes: MB, reservedBytes: MB, heldBytes: 9 * MB }, false],
    ["a single one that is larger than the part of the budget", { bytes: 40 * MB, unusedMs: 1_000 }, true],
    ["a single one before buffers are collected", { bufferBytes: 30 * MB }, false],
    ["a single one after a while without a collection", { bufferBytes: 30 * MB, unusedMs: 250 }, true],
] as const).forEach(([name, more, isRead]) => {
    test(`bodies: room: ${name}`, t => t.is(hasRoomForBody({ ...query, ...more }), isRead));
});

const body = (organisation: string, deadline: number, bytes = 4 * MB) => ({ organisation, deadline, bytes });
const [a1, a2, a3, b1] = [body("a", 9), body("a", 5), body("a", 9), body("b", 9)];

// Guards against an organisation with many callers that keeps out the others.
test("bodies: organisations take turns, and the earliest deadline comes first within one", t => {
    t.deepEqual(orderBodies([a1, a2, a3, b1], () => 0), [a2, b1, a1, a3]);
    t.deepEqual(orderBodies([a1, b1], organisation => organisation === "a" ? MB : 0), [b1, a1]);
});

// Guards against bodies that are read although their callers have given up by the time of the answer.
test("bodies: those are late that end after their deadline at the rate of the others", t => {
    const now = 0;
    const waiting = [body("a", 1_000), body("a", 300), body("a", 1_000)];
    t.deepEqual(lateBodies(waiting, { reservedBytes: 0, bytesPerMs: undefined, now }), []);
    t.deepEqual(lateBodies(waiting, { reservedBytes: 4 * MB, bytesPerMs: 10_000, now }), [waiting[1]]);
    t.deepEqual(lateBodies(waiting, { reservedBytes: 0, bytesPerMs: undefined, now: 300 }), [waiting[1]]);
});

// Guards against a few slow callers that keep the room for bodies until their deadlines.
test("bodies: a slow one reserves what it will take soon, a whole one what it holds", t => {
    const slow = { bytes: 4 * MB, readBytes: MB, isWhole: false, readSince: 0, recentBytes: 200_000 };
    t.is(pledgedBytes(slow, bodyLevels.paceMs - 1), 4 * MB);
    t.is(pledgedBytes(slow, bodyLevels.paceMs), MB + 200_000);
    t.is(pledgedBytes({ ...slow, recentBytes: 0 }, bodyLevels.paceMs), MB + bodyLevels.minAheadBytes);
    t.is(pledgedBytes({ ...slow, isWhole: true }, 0), MB);
});
