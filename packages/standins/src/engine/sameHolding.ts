import type { Holding } from "./Holding.js";

/** Whether two weights are the same. */
export function sameHolding(a: Holding, b: Holding): boolean {
    return a.model === b.model && a.version === b.version && (a.adapter ?? "") === (b.adapter ?? "");
}
