import type { Millis } from "@azureshunt/core";

import type { RoutingConfiguration } from "../configuration/RoutingConfiguration.js";
import type { EndpointEntry } from "../registry/EndpointEntry.js";
import type { HolderLimits } from "./HolderLimits.js";

/** An engine's memory also changes in ways that no VM tells, as by preempted requests; so nothing counts for long. */
const CACHED_MS: Millis = 8_000;
/** The store may have restarted empty, which nobody tells; what is then saved anew is known after so long. */
const STORED_MS: Millis = 20_000;

/**
 * Says what a holder of cached parts can keep.
 *
 * @param engine entry of the engine that holds them; undefined where it is the store
 */
export function limitsOfHolder(cfg: RoutingConfiguration | undefined, engine: EndpointEntry | undefined): HolderLimits {
    const services = [...cfg?.services.values() ?? []];
    if (engine === undefined) {
        const store = services.find(({ cacheStore }) => cacheStore !== undefined)?.cacheStore;
        return { keptMs: STORED_MS, size: store?.cacheTokens ?? Infinity };
    }
    return { keptMs: CACHED_MS, size: cfg?.services.get(engine.service)?.engine?.cacheTokens ?? Infinity };
}
