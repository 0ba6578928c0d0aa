import type { FailureDomain, Millis, VmId } from "@azureshunt/core";
import type { FlowBounds } from "@azureshunt/flow";

/** Validated settings of one VM's router. Addresses are `host:port`. */
export type RouterSettings = {
    readonly vm: VmId;
    readonly failureDomain: FailureDomain;
    /**
     * Capacity of this VM in cores, reduced if its network link is slow. The VMs with the highest capacity become
     * relays.
     */
    readonly capacity: number;
    /** Whether all VMs are starting for the first time, so that no callers are being served yet. */
    readonly isFirstStart: boolean;
    readonly listen: {
        readonly callers: string;
        /** Where the load balancer checks whether this VM takes requests. */
        readonly ready: string;
        /** Beacons over UDP; configuration and topics for peers over TCP. */
        readonly peers: string;
        /** `GET /metrics`, in Prometheus' text format. */
        readonly metrics: string;
    };
    /** Peer addresses of some VMs; they may be outdated. */
    readonly seeds: readonly string[];
    /** How long a key may still work after its withdrawal. */
    readonly keyWithdrawalMs: Millis;
    /** How long a declared change may take to come into force. */
    readonly configurationMs: Millis;
    /** How long an engine's last order binds the engine to the order's issuer. */
    readonly orderLeaseMs: Millis;
    /** Time after the replacement of weights at which no further request may begin on the old ones. */
    readonly weightsMs: Millis;
    /** How long a leaving endpoint still takes requests. */
    readonly leavingMs: Millis;
    /** How long this process may take to stop. */
    readonly stopMs: Millis;
    readonly retries: {
        /** Retries that all VMs together may make per request. */
        readonly ratio: number;
        /** Retries allowed in addition per window. */
        readonly slack: number;
    };
    /** Largest fraction of a service's requests that a new version may get before it is known to be good. */
    readonly rolloutExposure: number;
    /** Memory of this VM, from which the byte budget follows; without it the sum of what is buffered has no bound. */
    readonly memoryMb?: number;
    /** Bounds on answers that differ from the defaults. */
    readonly flow?: Partial<FlowBounds>;
    readonly logLevel: string;
};
