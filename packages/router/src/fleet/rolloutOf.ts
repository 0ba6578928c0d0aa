import type { EngineWeights } from "./EngineWeights.js";

/** How far a model's engines have come to the version that was named last. */
type Rollout = {
    /** Engines on replaced weights. */
    readonly outdated: number;
    /** Of these, the ones that are carrying out an order. */
    readonly ordered: number;
    /** Of these, the ones that this VM takes for unreachable. */
    readonly unreachable: number;
};

/** Counts engines by why they are not on the version that was named last. */
export function rolloutOf(engines: readonly EngineWeights[], version: number): Rollout {
    const outdated = engines.filter(engine => engine.version < version);
    return {
        outdated: outdated.length,
        ordered: outdated.filter(({ order }) => order !== undefined).length,
        unreachable: outdated.filter(({ isUp, order }) => !isUp && order === undefined).length,
    };
}
