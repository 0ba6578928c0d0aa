import type { EndpointName, Millis, Tokens } from "@azureshunt/core";

import type { EngineWeights } from "./EngineWeights.js";

/** Prompt tokens that an engine reads in a millisecond, from the deployments' sheets. */
const TOKENS_PER_MS = 80;
/** Part of an engine's reading that may be used: above it, reading crowds out the tokens of running answers. */
const USABLE_PART = 0.7;
/** Most engines that are away from service at once without need, finishing their runs or taking weights. */
const AWAY_PART = 0.25;
/** Part of the engines that is never exceeded while they still serve: with all away, nobody is served. */
const MOST_AWAY_PART = 0.5;
/** From the replacing of weights to the last engine off them: inside the time after which they serve nobody. */
const DONE_WITHIN_MS = 8_000;
/** One engine's runs to their end and its load, under load. */
const TURN_MS = 2_000;

/** What a wave is planned from. */
type WaveView = {
    /** All engines of the model. */
    readonly engines: readonly EngineWeights[];
    /** The version that was named last. */
    readonly version: number;
    /** Engines whose weights were replaced longer ago get no requests, so that nothing is lost by ordering them. */
    readonly servesForMs: Millis;
    /** Prompt tokens that callers send in a millisecond, to all VMs. */
    readonly demand: Tokens;
};

/** How many engines the requests need, when none of them holds a part of any prompt any more. */
const neededFor = (demand: Tokens): number => Math.ceil(demand / (TOKENS_PER_MS * USABLE_PART));

/** How many of these engines have to be away at once, if the last one is to be done in time. */
const atOnceFor = (outdated: readonly EngineWeights[], longestMs: Millis): number => {
    const turns = Math.floor((DONE_WITHIN_MS - longestMs) / TURN_MS);
    return turns <= 0 ? outdated.length : Math.ceil(outdated.length / turns);
};

/** Engines whose weights were replaced as long ago as one's set how many must go at once; the strictest such set counts. */
const dueAtOnce = (outdated: readonly EngineWeights[]): number =>
    outdated.reduce((most, { outdatedMs }) => {
        const asOld = outdated.filter(other => other.outdatedMs >= outdatedMs);
        return Math.max(most, atOnceFor(asOld, outdatedMs));
    }, 0);

/**
 * Plans how engines are brought to the version that was named last: those on the oldest weights first, of these the ones
 * with the fewest runs, and no more at once than the others can stand in for.
 *
 * Load: new weights are named every few seconds under full traffic, and engines fail meanwhile. An engine first finishes
 * its runs, which takes longer than the load itself. With too many away, the others drown in prompts that they all have
 * to read anew, and their runs take ten times as long. So a quarter goes at once, less where the demand leaves less over,
 * and more only as far as it takes to be off each version before it serves nobody any more; when that is too late
 * already, half of them goes before the other half.
 */
export function planWave({ engines, version, demand, servesForMs }: WaveView): readonly EndpointName[] {
    const up = engines.filter(({ isUp }) => isUp);
    const outdated = up.filter(engine => engine.version < version);
    const away = up.filter(({ order }) => order !== undefined).length;
    const spare = Math.min(Math.ceil(up.length * AWAY_PART), up.length - neededFor(demand));
    const most = Math.ceil(up.length * MOST_AWAY_PART);
    const atOnce = Math.max(1, spare, Math.min(most, dueAtOnce(outdated)));
    const due = outdated
        .filter(({ order }) => order === undefined)
        .toSorted((a, b) => a.version - b.version || a.running - b.running);
    const idle = due.filter(({ outdatedMs }) => outdatedMs >= servesForMs);
    const serving = due.filter(({ outdatedMs }) => outdatedMs < servesForMs).slice(0, Math.max(0, atOnce - away));
    return [...idle, ...serving].map(({ endpoint }) => endpoint);
}
