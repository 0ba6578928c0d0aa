import test from "ava";

import { countCached } from "../../engine/countCached.js";
import { expirePieces } from "../../engine/expirePieces.js";
import type { PieceCache } from "../../engine/PieceCache.js";
import { storePieces } from "../../engine/storePieces.js";
import { touchPieces } from "../../engine/touchPieces.js";

const NOW = 100;

const cacheOf = (...pieces: readonly string[]): PieceCache => new Map(pieces.map((piece, i) => [piece, i]));

[
    { name: "an empty prompt has no cached pieces", cache: cacheOf("a"), pieces: [], cached: 0 },
    { name: "all pieces of a cached chain count", cache: cacheOf("a", "b"), pieces: ["a", "b"], cached: 2 },
    { name: "a cached prefix counts", cache: cacheOf("a", "b"), pieces: ["a", "b", "c"], cached: 2 },
    {
        name: "a piece after a missing one does not count",
        cache: cacheOf("a", "c"),
        pieces: ["a", "b", "c"],
        cached: 1,
    },
    { name: "nothing counts without the first piece", cache: cacheOf("b"), pieces: ["a", "b"], cached: 0 },
].forEach(({ name, cache, pieces, cached }) =>
    test(`cache lookup: ${name}`, t => {
        t.is(countCached(cache, pieces), cached);
    })
);

[
    {
        name: "with room for all, nothing is evicted",
        cache: cacheOf("x"),
        chain: ["a", "b"],
        maxPieces: 3,
        stored: ["a", "b"],
        removed: [],
        left: ["x", "b", "a"],
    },
    {
        name: "the least recently used piece is evicted",
        cache: cacheOf("x", "y"),
        chain: ["a"],
        maxPieces: 2,
        stored: ["a"],
        removed: ["x"],
        left: ["y", "a"],
    },
    {
        name: "pieces already cached are marked as used and not reported again",
        cache: cacheOf("a", "x"),
        chain: ["a", "b"],
        maxPieces: 2,
        stored: ["b"],
        removed: ["x"],
        left: ["b", "a"],
    },
    {
        name: "a chain longer than the limit loses its end",
        cache: cacheOf(),
        chain: ["a", "b", "c"],
        maxPieces: 2,
        stored: ["a", "b"],
        removed: [],
        left: ["b", "a"],
    },
    {
        name: "without any room, nothing is stored",
        cache: cacheOf(),
        chain: ["a"],
        maxPieces: 0,
        stored: [],
        removed: [],
        left: [],
    },
].forEach(({ name, cache, chain, maxPieces, stored, removed, left }) =>
    test(`cache store: ${name}`, t => {
        const change = storePieces(cache, chain, maxPieces, NOW);
        t.deepEqual(change.stored, stored);
        t.deepEqual(change.removed, removed);
        t.deepEqual([...change.cache.keys()], left);
    })
);

test("cache use: a chain's first piece is the last to be evicted", t => {
    const touched = touchPieces(cacheOf("a", "b", "x"), ["a", "b"], NOW);
    t.deepEqual([...touched.keys()], ["x", "b", "a"]);
});

[
    { name: "pieces unused for longer than the limit are dropped", idleMs: 10, removed: ["a", "b"] },
    { name: "a piece used within the limit stays", idleMs: 99, removed: ["a"] },
    { name: "pieces unused for exactly the limit stay", idleMs: 100, removed: [] },
].forEach(({ name, idleMs, removed }) =>
    test(`cache expiry: ${name}`, t => {
        const change = expirePieces(cacheOf("a", "b"), idleMs, NOW);
        t.deepEqual(change.removed, removed);
        t.is(change.cache.size, 2 - removed.length);
    })
);
