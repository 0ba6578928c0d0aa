import type { Millis } from "@azureshunt/core";

import { dot } from "./dot.js";
import { partsOf } from "./partsOf.js";
import type { PerformanceModel } from "./PerformanceModel.js";
import type { Prediction } from "./Prediction.js";
import { slownessAt } from "./slownessAt.js";
import type { StartLoad } from "./StartLoad.js";
import type { Weights } from "./Weights.js";

/**
 * Differences below a tenth count as none. Otherwise noise in the estimates of like endpoints would draw the requests of
 * a VM to some of them.
 */
const MIN_DIFFERENCE = 0.1;
const UNIT: Weights = [1, 1, 1];

const isNear = (ratio: number): boolean => Math.abs(ratio - 1) < MIN_DIFFERENCE;

/**
 * Predicts the start of a request's answer at an endpoint.
 *
 * @param model undefined for an endpoint whose speed is not tracked: the constants apply
 * @param overdue by what factor unanswered tries there have outlasted their predictions, see `overdueOf`
 */
export function predict(
    model: PerformanceModel | undefined,
    load: StartLoad,
    now: Millis,
    overdue = 1,
): Prediction {
    const { queue, own, memoryMs, fetchMs } = partsOf(load);
    const usual = { queueMs: dot(UNIT, queue) + memoryMs, ownMs: dot(UNIT, own) + fetchMs };
    if (model === undefined) {
        return usual;
    }
    const { service } = model;
    const difference = Math.exp(slownessAt(model, now) - service.median);
    const ratio = Math.exp(service.median) * (isNear(difference) ? 1 : difference) * overdue;
    const learned = {
        queueMs: ratio * (dot(service.factors, queue) + memoryMs),
        ownMs: ratio * dot(service.factors, own) + fetchMs,
    };
    return isNear((learned.queueMs + learned.ownMs) / (usual.queueMs + usual.ownMs)) ? usual : learned;
}
