import type { EndpointName } from "@azureshunt/core";
import type { Configuration, EndpointSpec } from "@azureshunt/release";

import type { FleetOrder } from "./FleetOrder.js";
import { isSameWeights } from "./isSameWeights.js";
import type { ObservedEngine } from "./ObservedEngine.js";
import { wantedWeights } from "./wantedWeights.js";
import type { Weights } from "./Weights.js";

/** What orders are planned from. */
type FleetView = {
    readonly cfg: Configuration;
    /** Engines of the failure domain that answered lately. */
    readonly engines: readonly ObservedEngine[];
    /** Engines that still have an order on its way; these get no other one. */
    readonly busy: ReadonlySet<EndpointName>;
    /** Loads that may run at once in this failure domain, as the weight store bears. */
    readonly maxLoads: number;
    /** Whether no request can still ask for these weights, so that they may go. */
    readonly mayUnload: (weights: Weights) => boolean;
};

const includes = (list: readonly Weights[], weights: Weights): boolean =>
    list.some(other => isSameWeights(other, weights));

const loadsOf = (engine: ObservedEngine, wanted: readonly Weights[]): readonly FleetOrder[] =>
    wanted
        .filter(weights => !includes(engine.holds, weights) && !includes(engine.loading, weights))
        .map(weights => ({ endpoint: engine.name, action: "load", weights }));

const unloadsOf = (
    engine: ObservedEngine,
    wanted: readonly Weights[],
    mayUnload: FleetView["mayUnload"],
): readonly FleetOrder[] =>
    engine.holds
        .filter(weights => !includes(wanted, weights) && mayUnload(weights))
        .map(weights => ({ endpoint: engine.name, action: "unload", weights }));

const wantedBy = (cfg: Configuration, spec: EndpointSpec | undefined): readonly Weights[] | undefined =>
    spec === undefined || spec.leaving ? undefined : wantedWeights(cfg, spec);

/**
 * Compares what engines hold with what the configuration declares, and plans at most one order for each engine. Old
 * weights go only after all that is wanted is there, so a new version never leaves an engine with none.
 *
 * The plan depends on what is so now and on no former order: an order that was lost, or undone by a holder of an older
 * lease at an engine that does not check fencing numbers, is planned again.
 */
export function planOrders(view: FleetView): readonly FleetOrder[] {
    const { cfg, engines, busy, maxLoads, mayUnload } = view;
    const running = engines.reduce((sum, engine) => sum + engine.loading.length, 0);
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
    const loads = planned.filter(order => order.action === "load").slice(0, Math.max(0, maxLoads - running));
    return [...loads, ...planned.filter(order => order.action === "unload")];
}
