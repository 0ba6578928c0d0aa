import type { EndpointName, Millis, ModelName, Tokens } from "@azureshunt/core";

import type { EngineWeights } from "./EngineWeights.js";
import { isOrderOf } from "./isOrderOf.js";

/** Prompt tokens that an engine prefills per millisecond, from the deployment specification. */
const PREFILL_TOKENS_PER_MS = 80;
/** Usable fraction of an engine's prefill rate: above it, prefill crowds out the tokens of running answers. */
const USABLE_PREFILL_FRACTION = 0.7;
/** Fraction of engines that may be out of service at once without need, finishing their runs or loading weights. */
const MAX_OUT_OF_SERVICE_FRACTION = 0.25;
/** Fraction never exceeded while the engines still serve: with all out of service, no request is served. */
const URGENT_MAX_OUT_OF_SERVICE_FRACTION = 0.5;
/** Time from the replacement of weights until the last engine is off them; less than the time for which they serve. */
const WAVE_DEADLINE_MS = 8_000;
/** Time for one engine to finish its runs and load weights, under full traffic. */
const TURNAROUND_MS = 2_000;

/** State from which a wave is planned. */
type WaveView = {
    readonly model: ModelName;
    /** All engines of the model. */
    readonly engines: readonly EngineWeights[];
    /** The newest target version of the model. */
    readonly version: number;
    /** Engines whose weights were replaced longer ago get no requests, so ordering them costs no capacity. */
    readonly servesForMs: Millis;
    /** Prompt tokens per millisecond that callers send to all VMs. */
    readonly demand: Tokens;
    /** Whether an engine may be ordered now; one that may not goes on serving as long as its weights do. */
    readonly mayOrder: (engine: EngineWeights) => boolean;
};

/** Engines needed for the requests if none of them caches a prefix of any prompt any more. */
const enginesNeeded = (demand: Tokens): number => Math.ceil(demand / (PREFILL_TOKENS_PER_MS * USABLE_PREFILL_FRACTION));

/** How many of these engines must be out of service at once for the last one to finish in time. */
const minAtOnce = (outdated: readonly EngineWeights[], longestMs: Millis): number => {
    const rounds = Math.floor((WAVE_DEADLINE_MS - longestMs) / TURNAROUND_MS);
    return rounds <= 0 ? outdated.length : Math.ceil(outdated.length / rounds);
};

/**
 * How many engines must be out of service at once. Each engine and those replaced at least as long ago as it form a set
 * with a deadline; the strictest set decides.
 */
const minAtOnceByDeadline = (outdated: readonly EngineWeights[]): number =>
    outdated.reduce((max, { outdatedMs }) => {
        const asOld = outdated.filter(other => other.outdatedMs >= outdatedMs);
        return Math.max(max, minAtOnce(asOld, outdatedMs));
    }, 0);

/**
 * Plans which engines to order to the newest target version now: those on the oldest weights first, among these the
 * ones with the fewest runs, and no more at once than the other engines can replace.
 *
 * Under load: new target weights may be set every few seconds under full traffic, while engines fail. An engine first
 * finishes its runs, which takes longer than loading the weights. With too many engines out of service, the others are
 * overloaded by prompts that they all have to prefill again, and their runs take ten times as long. So a quarter is
 * ordered at once, fewer if the demand leaves fewer to spare, and more only as far as needed to get all engines off a
 * version before it no longer serves; if that is already too late, one half is ordered before the other.
 *
 * An engine that carries out an order for another model goes on serving this one, so it is not out of service here, but it
 * takes no other order meanwhile. With new weights of several models, no more than one half carry out orders at once.
 *
 * @returns the engines to order, in that order; those that get no requests come first and are not limited
 */
export function planWave(
    { engines, model, version, demand, servesForMs, mayOrder }: WaveView,
): readonly EndpointName[] {
    const up = engines.filter(({ isUp }) => isUp);
    const outdated = up.filter(engine => engine.version < version);
    const outOfService = up.filter(({ order }) => isOrderOf(order, model)).length;
    const ordered = up.filter(({ order }) => order !== undefined).length;
    const spare = Math.min(Math.ceil(up.length * MAX_OUT_OF_SERVICE_FRACTION), up.length - enginesNeeded(demand));
    const urgentMax = Math.ceil(up.length * URGENT_MAX_OUT_OF_SERVICE_FRACTION);
    const atOnce = Math.max(1, spare, Math.min(urgentMax, minAtOnceByDeadline(outdated)));
    const due = outdated
        .filter(engine => engine.order === undefined && mayOrder(engine))
        .toSorted((a, b) => a.version - b.version || a.running - b.running);
    const idle = due.filter(({ outdatedMs }) => outdatedMs >= servesForMs);
    const serving = due.filter(({ outdatedMs }) => outdatedMs < servesForMs).slice(
        0,
        Math.max(0, Math.min(atOnce - outOfService, urgentMax - ordered)),
    );
    return [...idle, ...serving].map(({ endpoint }) => endpoint);
}
