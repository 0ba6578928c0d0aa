import type { EndpointName } from "@azureshunt/core";
import type { Configuration, EndpointSpec } from "@azureshunt/release";

import { isSameWeights } from "./isSameWeights.js";
import type { ObservedEngine } from "./ObservedEngine.js";
import { wantedWeights } from "./wantedWeights.js";
import type { Weights } from "./Weights.js";
import type { WeightsOrder } from "./WeightsOrder.js";

/** Inputs for planning orders. */
type PlanInput = {
    readonly cfg: Configuration;
    /** Engines of the failure domain that answered recently. */
    readonly engines: readonly ObservedEngine[];
    /** Engines with an order in progress; they get no other one. */
    readonly busy: ReadonlySet<EndpointName>;
    /** Maximum number of concurrent loads in this failure domain, limited by what the weight store can serve. */
    readonly maxLoads: number;
    /** Returns whether no request can still need these weights, so that they may be unloaded. */
    readonly mayUnload: (weights: Weights) => boolean;
};

const includes = (list: readonly Weights[], weights: Weights): boolean =>
    list.some(other => isSameWeights(other, weights));

const loadsOf = (engine: ObservedEngine, wanted: readonly Weights[]): readonly WeightsOrder[] =>
    wanted
        .filter(weights => !includes(engine.holds, weights) && !includes(engine.loading, weights))
        .map(weights => ({ endpoint: engine.name, action: "load", weights }));

const unloadsOf = (
    engine: ObservedEngine,
    wanted: readonly Weights[],
    mayUnload: PlanInput["mayUnload"],
): readonly WeightsOrder[] =>
    engine.holds
        .filter(weights => !includes(wanted, weights) && mayUnload(weights))
        .map(weights => ({ endpoint: engine.name, action: "unload", weights }));

const wantedBy = (cfg: Configuration, spec: EndpointSpec | undefined): readonly Weights[] | undefined =>
    spec === undefined || spec.leaving ? undefined : wantedWeights(cfg, spec);

/**
 * Compares the weights that engines hold with the declared ones, and plans at most one order per engine. Old weights
 * are unloaded only after all declared weights are loaded, so a new version never leaves an engine without weights.
 *
 * The plan depends only on the current state and not on earlier orders. An order that was lost is planned again, and so
 * is one that the holder of an older lease undid at an engine that does not check fencing tokens.
 */
export function planOrders(input: PlanInput): readonly WeightsOrder[] {
    const { cfg, engines, busy, maxLoads, mayUnload } = input;
    const loading = engines.reduce((sum, engine) => sum + engine.loading.length, 0);
    const planned = engines
        .filter(engine => !busy.has(engine.name))
        .flatMap(engine => {
            const wanted = wantedBy(cfg, cfg.endpoints.get(engine.name));
            if (wanted === undefined) {
                return [];
            }
            const loads = loadsOf(engine, wanted);
            const orders = loads.length > 0 || engine.loading.length > 0 ? loads : unloadsOf(engine, wanted, mayUnload);
            return orders.slice(0, 1);
        });
    const loads = planned.filter(order => order.action === "load").slice(0, Math.max(0, maxLoads - loading));
    return [...loads, ...planned.filter(order => order.action === "unload")];
}
