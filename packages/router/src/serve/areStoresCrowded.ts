import type { Millis } from "@azureshunt/core";

import type { ServeParts } from "./ServeParts.js";

/** Time for which the stores must be able to keep all prompts, or they count as crowded. */
const MIN_KEPT_MS: Millis = 5_000;

/**
 * Returns whether callers send more prompt tokens than the cache stores can keep for some seconds.
 *
 * Dozens of engines that save and fetch everything fill the links of a few stores, and parts are evicted before they
 * are needed again. Engines are the better sources then, and the stores' room is for what several requests share.
 */
export function areStoresCrowded(parts: Pick<ServeParts, "declaredState" | "fleetDemand">): boolean {
    const services = [...parts.declaredState().configuration?.services.values() ?? []];
    const capacity = services.reduce((sum, { cacheStore }) => sum + (cacheStore?.cacheTokens ?? 0), 0);
    return parts.fleetDemand() * MIN_KEPT_MS > capacity;
}
