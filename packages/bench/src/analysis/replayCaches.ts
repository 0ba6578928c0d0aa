import type { EngineEntry } from "@azureshunt/standins";

import type { CacheUse } from "./CacheUse.js";
import type { EngineHistory } from "./EngineHistory.js";

type Located = { readonly engine: string; readonly entry: EngineEntry; };

const cachedPieces = (held: ReadonlySet<string>, pieces: readonly string[]): number => {
    const firstMiss = pieces.findIndex(piece => !held.has(piece));
    return firstMiss < 0 ? pieces.length : firstMiss;
};

/**
 * Replays the true caches of all engines in the order of time, and compares each run with what the best engine held at
 * that moment. The prompt's last token is always computed, in the oracle's answer too.
 */
export function replayCaches(histories: readonly EngineHistory[], pieceTokens: number): readonly CacheUse[] {
    const held = new Map<string, Set<string>>(histories.map(({ engine }) => [engine, new Set<string>()]));
    const inOrder: readonly Located[] = histories
        .flatMap(({ engine, entries }) => entries.map(entry => ({ engine, entry })))
        .toSorted((a, b) => a.entry.at - b.entry.at);
    const apply = ({ engine, entry }: Located): readonly CacheUse[] => {
        const cache = held.get(engine) ?? new Set();
        switch (entry.kind) {
            case "start":
                held.set(engine, new Set());
                return [];
            case "cache":
                entry.stored.forEach(piece => cache.add(piece));
                entry.removed.forEach(piece => cache.delete(piece));
                return [];
            case "end":
                return [];
            case "run": {
                const best = Math.max(...[...held.values()].map(pieces => cachedPieces(pieces, entry.pieces)));
                const oracleTokens = Math.min(best * pieceTokens, entry.promptTokens - 1);
                const { at, dispatchId, promptTokens, cachedTokens } = entry;
                return [{ at, dispatchId, promptTokens, cachedTokens, oracleTokens }];
            }
        }
    };
    return inOrder.flatMap(apply);
}
