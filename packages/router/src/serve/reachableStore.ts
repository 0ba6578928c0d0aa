import { rendezvousOrder } from "@azureshunt/core";
import type { FailureDomain } from "@azureshunt/core";

import type { ServeParts } from "./ServeParts.js";

type CacheStore = { readonly address: string; readonly failureDomain: FailureDomain; };

/**
 * Returns the cache store that keeps a prompt prefix; `undefined` if none is configured or all are in silent failure
 * domains. Prefixes are divided among several stores by rendezvous hashing: one store for all would evict parts within
 * seconds, and its link would delay transfers until engines no longer start them.
 *
 * @param key key of the last shared part of the prompt
 */
export function reachableStore(
    parts: Pick<ServeParts, "declaredState" | "isDomainSilent">,
    key: string,
): CacheStore | undefined {
    const stores = [...parts.declaredState().configuration?.services.values() ?? []]
        .flatMap(({ cacheStore }) => cacheStore === undefined ? [] : [cacheStore])
        .filter(({ failureDomain }) => !parts.isDomainSilent(failureDomain));
    const [first] = stores.length > 1 ? rendezvousOrder(key, stores.map(({ address }) => address)) : [];
    return stores.find(({ address }) => address === first) ?? stores[0];
}
