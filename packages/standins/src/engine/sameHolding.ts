import type { Holding } from "./Holding.js";

/** Returns whether two entries name the same model, adapter and version. */
export function sameHolding(a: Holding, b: Holding): boolean {
    return a.model === b.model && a.version === b.version && (a.adapter ?? "") === (b.adapter ?? "");
}
