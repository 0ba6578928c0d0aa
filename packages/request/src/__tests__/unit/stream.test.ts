import { DispatchId } from "@azureshunt/core";
import test from "ava";
import fc from "fast-check";

import { acceptPiece } from "../../acceptPiece.js";
import { openStream } from "../../openStream.js";
import type { StreamPiece } from "../../StreamPiece.js";
import type { StreamState } from "../../StreamState.js";

const SEED = 20_261_202;
const FIRST = DispatchId.parse("first");
const SECOND = DispatchId.parse("second");
const LENGTH = 6;

const piece = (dispatchId: DispatchId, position: number): StreamPiece => ({
    dispatchId,
    position,
    last: position === LENGTH - 1,
});

type Run = { readonly state: StreamState; readonly passed: readonly number[]; readonly marks: readonly string[]; };

const feed = (start: StreamState, pieces: readonly StreamPiece[]): Run =>
    pieces.reduce<Run>((run, next) => {
        const { state, effects } = acceptPiece(run.state, next);
        return {
            state,
            passed: effects.some(effect => effect.kind === "pass") ? [...run.passed, next.position] : run.passed,
            marks: [
                ...run.marks,
                ...effects.map(effect => (effect.kind === "discard" ? effect.reason : effect.kind)),
            ],
        };
    }, { state: start, passed: [], marks: [] });

// A stream is resumed on another engine, and late, repeated or missing pieces of the first one reach the caller.
[
    {
        name: "pieces in order pass, and the last one completes the answer",
        start: openStream(FIRST),
        pieces: [0, 1, 2, 3, 4, 5].map(at => piece(FIRST, at)),
        passed: [0, 1, 2, 3, 4, 5],
        marks: ["pass", "pass", "pass", "pass", "pass", "pass"],
        phase: "complete",
    },
    {
        name: "a piece sent twice passes once",
        start: openStream(FIRST),
        pieces: [0, 1, 1, 0, 2].map(at => piece(FIRST, at)),
        passed: [0, 1, 2],
        marks: ["pass", "pass", "duplicate", "duplicate", "pass"],
        phase: "open",
    },
    {
        name: "a missing piece breaks the try, and nothing passes after it",
        start: openStream(FIRST),
        pieces: [0, 2, 1, 2].map(at => piece(FIRST, at)),
        passed: [0],
        marks: ["pass", "break", "late", "late"],
        phase: "broken",
    },
    {
        name: "pieces of the former try are dropped after the resume",
        start: openStream(SECOND, 2),
        pieces: [piece(FIRST, 2), piece(SECOND, 2), piece(FIRST, 3), piece(SECOND, 3)],
        passed: [2, 3],
        marks: ["crossed", "pass", "crossed", "pass"],
        phase: "open",
    },
    {
        name: "a try that starts over instead of resuming repeats nothing",
        start: openStream(SECOND, 2),
        pieces: [0, 1, 2].map(at => piece(SECOND, at)),
        passed: [2],
        marks: ["duplicate", "duplicate", "pass"],
        phase: "open",
    },
    {
        name: "nothing passes after the end",
        start: openStream(FIRST, 5),
        pieces: [5, 6].map(at => piece(FIRST, at)),
        passed: [5],
        marks: ["pass", "late"],
        phase: "complete",
    },
].forEach(({ name, start, pieces, passed, marks, phase }) =>
    test(`stream: ${name}`, t => {
        const run = feed(start, pieces);
        t.deepEqual(run.passed, passed);
        t.deepEqual(run.marks, marks);
        t.is(run.state.phase, phase as StreamState["phase"]);
    })
);

test("stream: whatever comes, the caller reads a prefix, and the whole of it when complete", t => {
    const pieces = fc.array(
        fc.record({ second: fc.boolean(), position: fc.integer({ min: 0, max: LENGTH - 1 }) }),
        { maxLength: 60, size: "max" },
    );
    fc.assert(
        fc.property(pieces, sent => {
            const run = feed(openStream(FIRST), sent.map(at => piece(at.second ? SECOND : FIRST, at.position)));
            const prefix = run.passed.every((position, index) => position === index);
            return prefix && (run.state.phase !== "complete" || run.passed.length === LENGTH);
        }),
        { seed: SEED, numRuns: 2_000 },
    );
    t.pass();
});
