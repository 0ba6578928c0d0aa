import type { EngineWeights } from "./EngineWeights.js";

/** Progress of a model's engines towards the newest target version. */
type Rollout = {
    /** Engines on replaced weights. */
    readonly outdated: number;
    /** Of these, the engines that are carrying out an order. */
    readonly ordered: number;
    /** Of these, the engines without an order that this VM considers unreachable. */
    readonly unreachable: number;
};

/** Counts the engines that are not on the newest target version, by reason. */
export function rolloutOf(engines: readonly EngineWeights[], version: number): Rollout {
    const outdated = engines.filter(engine => engine.version < version);
    return {
        outdated: outdated.length,
        ordered: outdated.filter(({ order }) => order !== undefined).length,
        unreachable: outdated.filter(({ isUp, order }) => !isUp && order === undefined).length,
    };
}
