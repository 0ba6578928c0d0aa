import type { Millis } from "@azureshunt/core";

import type { PerformanceModel } from "./PerformanceModel.js";

/** Half-life of a sudden change: an endpoint that has become slow gets few requests, so no answer shows its recovery. */
const EXCURSION_HALF_LIFE_MS = 2_000;
/** Half-life of a lasting difference from the service's median: an endpoint without answers for minutes may have changed. */
const BASE_HALF_LIFE_MS = 60_000;

/** The logarithm of an endpoint's slowness at a time: what it was, drawn towards the median by age and lack of evidence. */
export function slownessAt({ service, endpoint }: PerformanceModel, now: Millis): number {
    const { median, priorSamples } = service;
    if (endpoint === undefined) {
        return median;
    }
    const ageMs = Math.max(0, now - endpoint.at);
    const lasting = (endpoint.base - median) * 2 ** (-ageMs / BASE_HALF_LIFE_MS);
    const sudden = endpoint.excursion * 2 ** (-ageMs / EXCURSION_HALF_LIFE_MS);
    const certainty = endpoint.evidence / (endpoint.evidence + priorSamples);
    // That an endpoint has suddenly changed was seen several times in a row; the median says nothing against it.
    return median + lasting * certainty + sudden * (endpoint.isSettled ? certainty : 1);
}
