import type { Holding } from "./Holding.js";
import type { Order } from "./Order.js";
import { sameHolding } from "./sameHolding.js";
import type { Weights } from "./Weights.js";

/** Result of an order. `load` names the weights that now have to be loaded, if any. */
type OrderResult =
    | { readonly kind: "refused"; readonly fencing: number; }
    | {
        readonly kind: "executed";
        readonly weights: Weights;
        readonly load: Holding | undefined;
        readonly unloaded: boolean;
    };

const without = (list: readonly Holding[], holding: Holding): readonly Holding[] =>
    list.filter(other => !sameHolding(other, holding));

/**
 * Executes an order. Repeating an order changes nothing.
 *
 * @param checksFencing whether an order with a lower fencing number than the newest executed one is refused
 */
export function applyOrder(weights: Weights, order: Order, checksFencing: boolean): OrderResult {
    if (checksFencing && order.fencing < weights.fencing) {
        return { kind: "refused", fencing: weights.fencing };
    }
    const { model = "", adapter, version = "" } = order;
    const holding: Holding = { model, adapter, version };
    const next: Weights = { ...weights, fencing: order.fencing };
    const known = [...weights.holds, ...weights.loading].some(other => sameHolding(other, holding));
    switch (order.action) {
        case "load":
            return known
                ? { kind: "executed", weights: next, load: undefined, unloaded: false }
                : {
                    kind: "executed",
                    weights: { ...next, loading: [...weights.loading, holding] },
                    load: holding,
                    unloaded: false,
                };
        case "unload":
            return {
                kind: "executed",
                weights: {
                    ...next,
                    holds: without(weights.holds, holding),
                    loading: without(weights.loading, holding),
                },
                load: undefined,
                unloaded: known,
            };
        case "role":
            return {
                kind: "executed",
                weights: { ...next, role: order.role ?? weights.role },
                load: undefined,
                unloaded: false,
            };
    }
}
