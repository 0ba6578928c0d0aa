import type { EndpointName, FailureDomain, Incarnation } from "@azureshunt/core";
import type { EndpointLoad, HeldWeights } from "@azureshunt/endpoint";

/** An endpoint as `azureshunt endpoint list` shows it. */
export type EndpointInfo = {
    readonly name: EndpointName;
    readonly kind: "model" | "service" | "cache";
    readonly failureDomain: FailureDomain;
    readonly url: string;
    readonly incarnation: Incarnation | undefined;
    readonly health: "unknown" | "up" | "down";
    readonly ready: boolean;
    readonly leaving: boolean;
    readonly holds: readonly HeldWeights[];
    /** Dispatches of this VM that have not ended. */
    readonly inFlight: number;
    /** Estimated load of all VMs together. */
    readonly load: EndpointLoad;
    /** Failures within the last minute. */
    readonly failures: number;
    readonly msPerToken: number;
    /** Whether cache events were lost since the last resync. */
    readonly cacheDoubtful: boolean;
};
