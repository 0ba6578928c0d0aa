import type { EngineWeights } from "./EngineWeights.js";
import { isOrderOf } from "./isOrderOf.js";
import type { ModelVersion } from "./ModelVersion.js";

/** Progress of a model's engines towards the newest target version. */
type Rollout = {
    /** Engines on replaced weights. */
    readonly outdated: number;
    /** Of these, the engines that are carrying out an order for the model. */
    readonly ordered: number;
    /** Of these, the engines that are carrying out an order for another model. */
    readonly otherwiseOrdered: number;
    /** Of these, the engines without an order that this VM considers unreachable. */
    readonly unreachable: number;
};

/** Counts the engines that are not on the newest target version, by reason. */
export function rolloutOf(engines: readonly EngineWeights[], { model, version }: ModelVersion): Rollout {
    const outdated = engines.filter(engine => engine.version < version);
    const ordered = outdated.filter(({ order }) => order !== undefined);
    const ofModel = ordered.filter(({ order }) => isOrderOf(order, model));
    return {
        outdated: outdated.length,
        ordered: ofModel.length,
        otherwiseOrdered: ordered.length - ofModel.length,
        unreachable: outdated.filter(({ isUp, order }) => !isUp && order === undefined).length,
    };
}
