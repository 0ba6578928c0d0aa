import type { EndpointName } from "@azureshunt/core";

import type { EngineWeights } from "./EngineWeights.js";

/** Share of the engines that may be away from service at once, finishing their runs or taking weights. */
const AWAY_PART = 0.5;

/**
 * Plans how engines are brought to the version that was named last: those on the oldest weights first, of these the ones
 * with the fewest runs, and as many at once as the others can stand in for.
 *
 * Load: new weights are named every few seconds under full traffic. An engine first finishes its runs, which takes
 * longer than the load itself; so half of them are ordered at once, and their loads follow each other as the runs end.
 * All at once would leave none for the requests, a few at a time are not through when the next version comes.
 */
export function planWave(engines: readonly EngineWeights[], version: number): readonly EndpointName[] {
    const atOnce = Math.max(1, Math.floor(engines.length * AWAY_PART));
    const room = Math.max(0, atOnce - engines.filter(({ order }) => order !== undefined).length);
    return engines
        .filter(engine => engine.version < version && engine.order === undefined && engine.isUp)
        .toSorted((a, b) => a.version - b.version || a.running - b.running)
        .slice(0, room)
        .map(({ endpoint }) => endpoint);
}
