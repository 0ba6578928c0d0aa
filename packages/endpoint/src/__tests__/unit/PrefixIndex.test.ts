import { EndpointName, Incarnation, PieceHash } from "@azureshunt/core";
import test from "ava";
import fc from "fast-check";

import type { CacheEvent } from "../../cache/CacheEvent.js";
import { partitionOf } from "../../cache/partitionOf.js";
import { PrefixIndex } from "../../cache/PrefixIndex.js";

const SEED = 20_261_202;
const PIECES = 12;
const ENGINE = EndpointName.parse("engine-1");
const INCARNATIONS = ["run-a", "run-b", "run-c"].map(run => Incarnation.parse(run));
const piece = (n: number) => PieceHash.parse(n.toString(16).padStart(32, "0"));
const event = (
    seq: number,
    kind: CacheEvent["kind"],
    numbers: number[],
    current = INCARNATIONS[0]!,
): CacheEvent => ({
    incarnation: current,
    seq,
    kind,
    hashes: numbers.map(piece),
});
const heldPieces = (index: PrefixIndex, now = 0) =>
    Array.from({ length: PIECES }, (_, n) => n).filter(n => index.match([piece(n)], [ENGINE], now)[0] === 1);
const started = (current = INCARNATIONS[0]!) => {
    const index = new PrefixIndex();
    index.startIncarnation(ENGINE, current);
    index.resync(ENGINE, { incarnation: current, seq: 0, hashes: [] });
    return index;
};

test("index: late events of a crashed engine never match again", t => {
    // Events of a crashed engine's previous incarnation arrive late, and its prefixes are taken for cached.
    const index = started();
    index.apply(ENGINE, event(1, "stored", [1, 2]));
    index.startIncarnation(ENGINE, INCARNATIONS[1]!);
    t.is(index.apply(ENGINE, event(2, "stored", [3])), "other-incarnation");
    index.assume(ENGINE, INCARNATIONS[0]!, [piece(4)], Infinity);
    t.false(index.resync(ENGINE, { incarnation: INCARNATIONS[0]!, seq: 9, hashes: [piece(5)] }));
    t.deepEqual(heldPieces(index), []);
});

[
    { name: "in order", events: [event(1, "stored", [1]), event(2, "stored", [2])], outcome: "applied", holds: [1, 2] },
    { name: "repeated", events: [event(1, "stored", [1]), event(1, "removed", [1])], outcome: "repeated", holds: [1] },
    { name: "after a gap", events: [event(1, "stored", [1]), event(3, "removed", [1])], outcome: "gap", holds: [] },
    { name: "cleared", events: [event(1, "stored", [1, 2]), event(2, "cleared", [])], outcome: "applied", holds: [] },
].forEach(({ name, events, outcome, holds }) =>
    test(`index: events ${name}`, t => {
        const index = started();
        t.is(events.map(each => index.apply(ENGINE, each)).at(-1) as string, outcome);
        t.deepEqual(heldPieces(index), holds);
        t.is(index.needsResync(ENGINE), outcome === "gap");
    })
);

test("index: an assumed piece matches until it expires, a confirmed one without limit", t => {
    const index = started();
    index.assume(ENGINE, INCARNATIONS[0]!, [piece(1), piece(2)], 100);
    index.apply(ENGINE, event(1, "stored", [2]));
    t.deepEqual(heldPieces(index, 99), [1, 2]);
    t.deepEqual(heldPieces(index, 100), [2]);
    index.sweep(100);
    t.is(index.size, 1);
});

test("index: a match ends at the first missing piece", t => {
    const index = started();
    index.apply(ENGINE, event(1, "stored", [1, 2, 4]));
    t.deepEqual(index.match([1, 2, 3, 4].map(piece), [ENGINE], 0), [2]);
});

/** Operations on the index and on the modelled engine. */
const steps = fc.array(
    fc.oneof(
        { weight: 6, arbitrary: fc.record({ do: fc.constant("change" as const), lost: fc.boolean(), n: fc.nat(5) }) },
        { weight: 2, arbitrary: fc.record({ do: fc.constant("snapshot" as const) }) },
        { weight: 2, arbitrary: fc.record({ do: fc.constant("resync" as const) }) },
        { weight: 1, arbitrary: fc.record({ do: fc.constant("crash" as const) }) },
        { weight: 1, arbitrary: fc.record({ do: fc.constant("replay" as const) }) },
    ),
    { maxLength: 60 },
);

test("index: equals the engine's cache unless it needs a resync, with events lost, late or repeated", t => {
    fc.assert(
        fc.property(steps, fc.array(fc.nat(PIECES - 1), { minLength: 60, maxLength: 60 }), (plan, numbers) => {
            const index = started();
            const engine = { incarnation: 0, seq: 0, cache: new Set<number>() };
            // What the engine's current incarnation held after each of its events.
            let heldAfter: number[][] = [[]];
            const seen: CacheEvent[] = [];
            let snapshot = { incarnation: INCARNATIONS[0]!, seq: 0, hashes: [] as PieceHash[] };
            const takeSnapshot = () => ({
                incarnation: INCARNATIONS[engine.incarnation]!,
                seq: engine.seq,
                hashes: [...engine.cache].map(piece),
            });
            plan.forEach((each, i) => {
                const number = numbers[i]!;
                switch (each.do) {
                    case "change": {
                        const kind = each.n === 0 ? "cleared" : engine.cache.has(number) ? "removed" : "stored";
                        engine.seq++;
                        if (kind === "cleared") {
                            engine.cache.clear();
                        }
                        else if (kind === "removed") {
                            engine.cache.delete(number);
                        }
                        else {
                            engine.cache.add(number);
                        }
                        const change = event(
                            engine.seq,
                            kind,
                            kind === "cleared" ? [] : [number],
                            INCARNATIONS[engine.incarnation],
                        );
                        seen.push(change);
                        heldAfter.push([...engine.cache].sort((a, b) => a - b));
                        if (!each.lost) {
                            index.apply(ENGINE, change);
                        }
                        break;
                    }
                    case "snapshot":
                        snapshot = takeSnapshot();
                        break;
                    case "resync":
                        index.resync(ENGINE, snapshot);
                        break;
                    case "crash":
                        if (engine.incarnation < INCARNATIONS.length - 1) {
                            engine.incarnation++;
                            engine.seq = 0;
                            engine.cache.clear();
                            heldAfter = [[]];
                            index.startIncarnation(ENGINE, INCARNATIONS[engine.incarnation]!);
                        }
                        break;
                    case "replay":
                        seen.filter(old => old.incarnation !== INCARNATIONS[engine.incarnation]).forEach(old =>
                            index.apply(ENGINE, old)
                        );
                        break;
                }
                if (!index.needsResync(ENGINE)) {
                    t.deepEqual(heldPieces(index), heldAfter[index.seqOf(ENGINE)]);
                }
            });
            index.resync(ENGINE, takeSnapshot());
            t.false(index.needsResync(ENGINE));
            t.deepEqual(heldPieces(index), [...engine.cache].sort((a, b) => a - b));
        }),
        { seed: SEED, numRuns: 300 },
    );
});

test("index: 100,000 cached blocks take less than 8 MiB", t => {
    const index = started();
    index.apply(ENGINE, event(1, "stored", Array.from({ length: 100_000 }, (_, n) => n * 7_919)));
    t.is(index.size, 100_000);
    t.true(index.bytes < 8 * 1_048_576, `${index.bytes} bytes`);
});

test("index: removed rows are reused", t => {
    const index = started();
    Array.from({ length: 20_000 }, (_, n) => n).forEach(n => {
        index.apply(ENGINE, event(2 * n + 1, "stored", [n]));
        index.apply(ENGINE, event(2 * n + 2, "removed", [n]));
    });
    t.is(index.size, 0);
    t.true(index.bytes <= 26 * 1_024);
});

test("index: first pieces are spread evenly over the partitions", t => {
    const firstPieces = Array.from(
        { length: 4_000 },
        (_, n) => PieceHash.parse(n.toString(16).padStart(8, "0").padEnd(32, "0")),
    );
    const counts = firstPieces.map(first => partitionOf(first, 4));
    [0, 1, 2, 3].forEach(partition => t.is(counts.filter(each => each === partition).length, 1_000));
});
