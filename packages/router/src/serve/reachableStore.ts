import type { FailureDomain } from "@azureshunt/core";

import type { ServeParts } from "./ServeParts.js";

/** Returns the cache store; `undefined` if none is configured or its failure domain is silent. */
export function reachableStore(
    parts: Pick<ServeParts, "declaredState" | "isDomainSilent">,
): { readonly address: string; readonly failureDomain: FailureDomain; } | undefined {
    const services = [...parts.declaredState().configuration?.services.values() ?? []];
    const store = services.map(service => service.cacheStore).find(each => each !== undefined);
    return store === undefined || parts.isDomainSilent(store.failureDomain) ? undefined : store;
}
