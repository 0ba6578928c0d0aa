import type { EngineEntry } from "@azureshunt/standins";

import type { CacheUse } from "./CacheUse.js";
import type { EngineHistory } from "./EngineHistory.js";

type EngineEvent = { readonly engine: string; readonly entry: EngineEntry; };

const countCachedPieces = (cache: ReadonlySet<string>, pieces: readonly string[]): number => {
    const firstMiss = pieces.findIndex(piece => !cache.has(piece));
    return firstMiss < 0 ? pieces.length : firstMiss;
};

/**
 * Replays the cache changes of all engines in the order of time and compares each run with the largest prefix that any
 * engine had cached at that moment. A prompt's last token is always computed, so the oracle does not count it as cached
 * either.
 */
export function replayCaches(histories: readonly EngineHistory[], pieceTokens: number): readonly CacheUse[] {
    const cacheByEngine = new Map<string, Set<string>>(histories.map(({ engine }) => [engine, new Set<string>()]));
    const eventsByTime: readonly EngineEvent[] = histories
        .flatMap(({ engine, entries }) => entries.map(entry => ({ engine, entry })))
        .toSorted((a, b) => a.entry.at - b.entry.at);
    const apply = ({ engine, entry }: EngineEvent): readonly CacheUse[] => {
        const cache = cacheByEngine.get(engine) ?? new Set();
        switch (entry.kind) {
            case "start":
                cacheByEngine.set(engine, new Set());
                return [];
            case "cache":
                entry.stored.forEach(piece => cache.add(piece));
                entry.removed.forEach(piece => cache.delete(piece));
                return [];
            case "end":
                return [];
            case "run": {
                const best = Math.max(
                    ...[...cacheByEngine.values()].map(pieces => countCachedPieces(pieces, entry.pieces)),
                );
                const oracleTokens = Math.min(best * pieceTokens, entry.promptTokens - 1);
                const { at, dispatchId, promptTokens, cachedTokens } = entry;
                return [{ at, dispatchId, promptTokens, cachedTokens, oracleTokens }];
            }
        }
    };
    return eventsByTime.flatMap(apply);
}
