import type { Millis } from "@azureshunt/core";

import type { EndpointFigures } from "./EndpointFigures.js";
import { weightedMedian } from "./weightedMedian.js";

type NewSample = Pick<EndpointFigures, "bornAt" | "sentAt"> & EndpointFigures["samples"][number];

/** Samples of the window: seven odd ones do not move the median beyond the others. */
const WINDOW = 15;
/** Samples in a row, all far off in one direction, after which the endpoint has changed. One or two may be chance. */
const CHANGE_SAMPLES = 3;
/** How far off these are: further than by a queue that was not known, as a rule. */
const CHANGE = Math.log(1.6);
/**
 * Slowness relative to the median beyond which nothing lasts: an endpoint that is slower gets nearly no requests, so no
 * answer would show that it has recovered.
 */
const MAX_LASTING = Math.log(2.5);
/**
 * Adds a sample to the figures of an endpoint.
 *
 * The slowness is the median of a window, which no single odd sample moves. The window starts anew when the endpoint has
 * suddenly changed.
 *
 * @param median slowness of the service's endpoints
 */
export function stepEndpoint(
    median: number,
    known: EndpointFigures | undefined,
    { bornAt, sentAt, slowness, weight }: NewSample,
    now: Millis,
): EndpointFigures {
    const samples = [...known?.samples ?? [], { slowness, weight }].slice(-WINDOW);
    const newest = samples.slice(-CHANGE_SAMPLES);
    const before = weightedMedian(samples.slice(0, -CHANGE_SAMPLES));
    const hasChanged = samples.length > CHANGE_SAMPLES && (
        newest.every(each => each.slowness > before + CHANGE) || newest.every(each => each.slowness < before - CHANGE)
    );
    // An endpoint that was slow for a moment and answers as before has recovered: nothing answers fast by chance.
    const hasRecovered = known !== undefined && known.excursion > CHANGE && slowness < known.base + CHANGE;
    const kept = hasRecovered ? samples.slice(-1) : hasChanged ? newest : samples;
    const level = weightedMedian(kept);
    const isSettled = hasRecovered || !hasChanged && ((known?.isSettled ?? true) || kept.length === WINDOW);
    const base = Math.min(isSettled ? level : known?.base ?? level, median + MAX_LASTING);
    return {
        bornAt,
        samples: kept,
        evidence: kept.reduce((sum, each) => sum + each.weight, 0),
        base,
        excursion: level - base,
        isSettled,
        at: now,
        sentAt: Math.max(known?.sentAt ?? -Infinity, sentAt),
    };
}
