import type { Clock } from "../common/Clock.js";
import type { CacheChange } from "./CacheChange.js";
import type { CacheEvent } from "./CacheEvent.js";
import { expirePieces } from "./expirePieces.js";
import type { PieceCache } from "./PieceCache.js";
import { storePieces } from "./storePieces.js";

/** Limits of a cache, and the callbacks for its changes. */
type CacheContext = {
    readonly clock: Clock;
    readonly maxPieces: number;
    readonly pieceIdleMs: number;
    readonly publish: (kind: CacheEvent["kind"], hashes: readonly string[]) => void;
    readonly record: (stored: readonly string[], removed: readonly string[]) => void;
};

/** Current cache of an engine, and the operations that change it. */
type CacheState = {
    readonly current: () => PieceCache;
    /** Replaces the cache by one whose pieces differ only in their last use; publishes nothing. */
    readonly replace: (cache: PieceCache) => void;
    readonly store: (chain: readonly string[]) => void;
    readonly expire: () => void;
    readonly clear: () => void;
};

/** Creates an empty cache. */
export function createCacheState(context: CacheContext): CacheState {
    const { clock, maxPieces, pieceIdleMs, publish, record } = context;
    let cache: PieceCache = new Map();

    const apply = (change: CacheChange): void => {
        cache = change.cache;
        if (change.stored.length > 0) {
            publish("stored", change.stored);
        }
        if (change.removed.length > 0) {
            publish("removed", change.removed);
        }
        if (change.stored.length + change.removed.length > 0) {
            record(change.stored, change.removed);
        }
    };
    const clear = (): void => {
        const removed = [...cache.keys()];
        cache = new Map();
        publish("cleared", []);
        record([], removed);
    };
    return {
        current: () => cache,
        replace: next => {
            cache = next;
        },
        store: chain => apply(storePieces(cache, chain, maxPieces, clock.now())),
        expire: () => apply(expirePieces(cache, pieceIdleMs, clock.now())),
        clear,
    };
}
