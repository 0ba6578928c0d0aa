import type { Millis } from "@azureshunt/core";

import { dot } from "./dot.js";
import type { Observation } from "./Observation.js";
import { partsOf } from "./partsOf.js";
import type { PerformanceModel } from "./PerformanceModel.js";
import { scaleFactors } from "./scaleFactors.js";
import { slownessAt } from "./slownessAt.js";
import { stepEndpoint } from "./stepEndpoint.js";
import { stepFactors } from "./stepFactors.js";
import type { Weights } from "./Weights.js";

/** Lag of this process up to which an observation counts: absolute, and as a fraction of the observed start. */
const MAX_LAG_MS = 8;
const MAX_LAG_FRACTION = 0.1;
/** Relative error of a queue as this VM knows it, up to a second late. */
const QUEUE_NOISE = 0.6;
/** Share of the start in the queue up to which an observation shows how long the parts take. */
const MAX_QUEUE_SHARE = 0.5;
/** Weight of a new deviation in the noise, which so follows the last thirty samples. */
const NOISE_GAIN = 0.03;
/** Bounds of the noise: with less, samples with a queue would count for nothing; with more, as much as others. */
const MIN_NOISE = 0.08;
const MAX_NOISE = 0.8;
/** Largest deviation that counts towards the noise; larger ones are changes. */
const MAX_DEVIATION = 0.5;

/**
 * Applies an observation of one try to the figures of its endpoint and its service.
 *
 * An endpoint's slowness is one factor on all parts of its start: a VM sees few answers of an endpoint, too few to tell
 * its parts apart. How long the parts take is learned over all endpoints of the service.
 */
export function stepModel(model: PerformanceModel, observation: Observation, now: Millis): PerformanceModel {
    const { load, startMs, lagMs, bornAt, sentAt, outcome } = observation;
    if (lagMs > Math.max(MAX_LAG_MS, startMs * MAX_LAG_FRACTION)) {
        return model;
    }
    const { service } = model;
    const known = model.endpoint?.bornAt === bornAt ? model.endpoint : undefined;
    const { queue, own, memoryMs, fetchMs } = partsOf(load);
    const queueMs = dot(service.factors, queue) + memoryMs;
    const predictedMs = queueMs + dot(service.factors, own);
    const observedMs = Math.max(1, startMs - fetchMs - observation.distanceMs);
    const slowness = Math.log(observedMs / predictedMs);
    const expected = slownessAt({ service, endpoint: known }, now);
    if (outcome === "waited" && slowness <= expected) {
        return model;
    }
    const queueShare = queueMs / predictedMs;
    const variance = service.noise ** 2 + (QUEUE_NOISE * queueShare) ** 2;
    const weight = service.noise ** 2 / variance;
    const endpoint = stepEndpoint(service.median, known, { bornAt, sentAt, slowness, weight }, now);
    if (known === undefined || outcome === "waited" || memoryMs > 0 || queueShare > MAX_QUEUE_SHARE) {
        return { service, endpoint };
    }
    const total: Weights = [queue[0] + own[0], queue[1] + own[1], queue[2] + own[2]];
    const deviation = Math.min(MAX_DEVIATION, Math.abs(slowness - expected));
    const noise = service.noise + (deviation - service.noise) * NOISE_GAIN;
    const { factors, covariance } = stepFactors(service, total, Math.exp(slowness - expected) - 1, variance);
    return {
        service: {
            ...service,
            ...scaleFactors(factors, service.mix, total),
            covariance,
            noise: Math.min(MAX_NOISE, Math.max(MIN_NOISE, noise)),
        },
        endpoint,
    };
}
