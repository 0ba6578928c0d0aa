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

type Told = { readonly load: Beacon["load"]; readonly at: Millis; };

const nothing: EndpointShare = { running: 0, waitingTokens: 0, memoryTokens: 0 };

const add = (sum: EndpointShare, each: EndpointShare, times: 1 | -1): EndpointShare => ({
    running: sum.running + times * each.running,
    waitingTokens: sum.waitingTokens + times * each.waitingTokens,
    memoryTokens: sum.memoryTokens + times * each.memoryTokens,
});

/**
 * Keeps the sum by endpoint, as beacons come.
 *
 * Load: each request asks for the load of every endpoint, with dozens of VMs and endpoints; going through all beacons for
 * each of them would cost thousands of steps a request.
 */
export function createOthersLoad(clock: Clock): OthersLoad {
    const sums = new Map<EndpointName, EndpointShare>();
    /** By VM, the one heard longest ago first. */
    const told = new Map<VmId, Told>();

    const take = (load: Beacon["load"], times: 1 | -1): void =>
        load.forEach(([endpoint, share]) => {
            const sum = add(sums.get(endpoint) ?? nothing, share, times);
            if (sum.running === 0) {
                sums.delete(endpoint);
                return;
            }
            sums.set(endpoint, sum);
        });
    const forget = (vm: VmId): void => {
        take(told.get(vm)?.load ?? [], -1);
        told.delete(vm);
    };
    const hear: OthersLoad["hear"] = ({ vm, load }) => {
        forget(vm);
        told.set(vm, { load, at: clock.now() });
        take(load, 1);
    };
    const forgetOld = (): void => {
        const now = clock.now();
        for (const [vm, { at }] of told) {
            if (now - at < LOAD_MS) {
                return;
            }
            forget(vm);
        }
    };
    const at: OthersLoad["at"] = endpoint => {
        forgetOld();
        return sums.get(endpoint) ?? nothing;
    };
    return { hear, at };
}
