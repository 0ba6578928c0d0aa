import type { Clock, EndpointName, Millis, VmId } from "@azureshunt/core";

import type { Beacon } from "./Beacon.js";
import type { EndpointShare } from "./EndpointShare.js";

/** What the other VMs run at the endpoints, as they last told. */
type OthersLoad = {
    readonly hear: (beacon: Pick<Beacon, "vm" | "load">) => void;
    /** What all of them run at an endpoint. */
    readonly at: (endpoint: EndpointName) => EndpointShare;
};

/** What a VM told of its load counts for so long; its requests are over by then, or it tells anew. */
const LOAD_MS: Millis = 1_500;

type Told = EndpointShare & { readonly at: Millis; };

const nothing: EndpointShare = { running: 0, waitingTokens: 0, memoryTokens: 0 };

const add = (sum: EndpointShare, each: EndpointShare): EndpointShare => ({
    running: sum.running + each.running,
    waitingTokens: sum.waitingTokens + each.waitingTokens,
    memoryTokens: sum.memoryTokens + each.memoryTokens,
});

/**
 * Keeps the shares by endpoint, as beacons come.
 *
 * Load: each request asks for the load of every endpoint, with dozens of VMs and endpoints; going through all beacons for
 * each of them would cost thousands of steps a request.
 */
export function createOthersLoad(clock: Clock): OthersLoad {
    const byEndpoint = new Map<EndpointName, Map<VmId, Told>>();

    const hear: OthersLoad["hear"] = ({ vm, load }) => {
        const at = clock.now();
        byEndpoint.forEach((shares, endpoint) => {
            shares.delete(vm);
            if (shares.size === 0) {
                byEndpoint.delete(endpoint);
            }
        });
        load.forEach(([endpoint, share]) => {
            const shares = byEndpoint.get(endpoint) ?? new Map<VmId, Told>();
            byEndpoint.set(endpoint, shares.set(vm, { ...share, at }));
        });
    };
    const at: OthersLoad["at"] = endpoint => {
        const now = clock.now();
        return [...byEndpoint.get(endpoint)?.values() ?? []]
            .filter(told => now - told.at < LOAD_MS)
            .reduce(add, nothing);
    };
    return { hear, at };
}
