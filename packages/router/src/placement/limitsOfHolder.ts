import type { Millis } from "@azureshunt/core";

import type { RoutingConfiguration } from "../configuration/RoutingConfiguration.js";
import type { EndpointEntry } from "../registry/EndpointEntry.js";
import type { HolderLimits } from "./HolderLimits.js";

/** Short, as an engine's cache also changes in ways that no VM reports, for example by preempted requests. */
const ENGINE_EXPIRY_MS: Millis = 8_000;
/**
 * The store may restart empty without any VM noticing. Its old parts expire after this time, so that they are saved
 * again.
 */
const STORE_EXPIRY_MS: Millis = 20_000;

/**
 * Returns what a holder of cached parts can keep.
 *
 * @param holder name of the engine, or address of the cache store
 * @param engine entry of the engine that holds them; undefined for the cache store
 */
export function limitsOfHolder(
    cfg: RoutingConfiguration | undefined,
    holder: string,
    engine: EndpointEntry | undefined,
): HolderLimits {
    if (engine === undefined) {
        const stores = [...cfg?.services.values() ?? []].map(({ cacheStore }) => cacheStore);
        const store = stores.find(each => each?.address === holder);
        return { expiryMs: STORE_EXPIRY_MS, size: store?.cacheTokens ?? Infinity };
    }
    return { expiryMs: ENGINE_EXPIRY_MS, size: cfg?.services.get(engine.service)?.engine?.cacheTokens ?? Infinity };
}
