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

type Run = { readonly state: StreamState; readonly forwarded: readonly number[]; readonly effects: readonly string[]; };

const feed = (start: StreamState, pieces: readonly StreamPiece[]): Run =>
    pieces.reduce<Run>((run, next) => {
        const { state, effects } = acceptPiece(run.state, next);
        return {
            state,
            forwarded: effects.some(effect => effect.kind === "pass")
                ? [...run.forwarded, next.position]
                : run.forwarded,
            effects: [
                ...run.effects,
                ...effects.map(effect => (effect.kind === "discard" ? effect.reason : effect.kind)),
            ],
        };
    }, { state: start, forwarded: [], effects: [] });

// Guards against late, repeated or missing pieces of the first engine after a stream is resumed on another one.
[
    {
        name: "pieces in order are forwarded, and the last one completes the answer",
        start: openStream(FIRST),
        pieces: [0, 1, 2, 3, 4, 5].map(at => piece(FIRST, at)),
        forwarded: [0, 1, 2, 3, 4, 5],
        effects: ["pass", "pass", "pass", "pass", "pass", "pass"],
        phase: "complete",
    },
    {
        name: "a piece sent twice is forwarded once",
        start: openStream(FIRST),
        pieces: [0, 1, 1, 0, 2].map(at => piece(FIRST, at)),
        forwarded: [0, 1, 2],
        effects: ["pass", "pass", "duplicate", "duplicate", "pass"],
        phase: "open",
    },
    {
        name: "a missing piece breaks the try, and nothing is forwarded after it",
        start: openStream(FIRST),
        pieces: [0, 2, 1, 2].map(at => piece(FIRST, at)),
        forwarded: [0],
        effects: ["pass", "break", "late", "late"],
        phase: "broken",
    },
    {
        name: "pieces of the previous try are dropped after the resume",
        start: openStream(SECOND, 2),
        pieces: [piece(FIRST, 2), piece(SECOND, 2), piece(FIRST, 3), piece(SECOND, 3)],
        forwarded: [2, 3],
        effects: ["crossed", "pass", "crossed", "pass"],
        phase: "open",
    },
    {
        name: "a try that starts over instead of resuming repeats nothing",
        start: openStream(SECOND, 2),
        pieces: [0, 1, 2].map(at => piece(SECOND, at)),
        forwarded: [2],
        effects: ["duplicate", "duplicate", "pass"],
        phase: "open",
    },
    {
        name: "nothing is forwarded after the last piece",
        start: openStream(FIRST, 5),
        pieces: [5, 6].map(at => piece(FIRST, at)),
        forwarded: [5],
        effects: ["pass", "late"],
        phase: "complete",
    },
].forEach(({ name, start, pieces, forwarded, effects, phase }) =>
    test(`stream: ${name}`, t => {
        const run = feed(start, pieces);
        t.deepEqual(run.forwarded, forwarded);
        t.deepEqual(run.effects, effects);
        t.is(run.state.phase, phase as StreamState["phase"]);
    })
);

test("stream: for any pieces, the caller receives a prefix of the answer, and all of it once complete", t => {
    const pieces = fc.array(
        fc.record({ second: fc.boolean(), position: fc.integer({ min: 0, max: LENGTH - 1 }) }),
        { maxLength: 60, size: "max" },
    );
    fc.assert(
        fc.property(pieces, sent => {
            const run = feed(openStream(FIRST), sent.map(at => piece(at.second ? SECOND : FIRST, at.position)));
            const isPrefix = run.forwarded.every((position, index) => position === index);
            return isPrefix && (run.state.phase !== "complete" || run.forwarded.length === LENGTH);
        }),
        { seed: SEED, numRuns: 2_000 },
    );
    t.pass();
});
