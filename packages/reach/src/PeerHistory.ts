import type { FailureDomain, Millis, Peer, ServiceName, VmId } from "@azureshunt/core";

/** What a VM knows of its peers as openers of connections to the endpoints of one service. */
type ServiceHistory = {
    /** By VM: until when it is asked after all others, as it could not open connections itself. */
    readonly avoidedUntil: ReadonlyMap<VmId, Millis>;
    /**
     * By failure domain: when its peers last failed to open a connection that a peer of another domain opened. What
     * keeps one VM from an endpoint often keeps its whole domain from it. `undefined` stands for an unknown domain.
     */
    readonly outdoneAt: ReadonlyMap<FailureDomain | undefined, Millis>;
    /** Peers that opened a connection lately, and when: for this VM (`isOwn`), or for one that could not help. */
    readonly helpers: ReadonlyMap<VmId, { readonly peer: Peer; readonly at: Millis; readonly isOwn: boolean; }>;
    /** Attempts that failed since any peer last opened a connection. */
    readonly failedInRow: number;
};

/** What a VM knows of its peers as openers of connections to endpoints. */
export type PeerHistory = {
    /** A VM may be cut off from one service and not from others. */
    readonly services: ReadonlyMap<ServiceName, ServiceHistory>;
    /** Peers of other failure domains that peers there have named, and when each was last named. */
    readonly named: ReadonlyMap<VmId, { readonly peer: Peer; readonly at: Millis; }>;
};
