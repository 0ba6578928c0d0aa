import type { FailureDomain, Millis, Peer, VmId } from "@azureshunt/core";

/** What a VM knows of its peers as openers of connections to the endpoints of one service. */
export type PeerHistory = {
    /** By VM: until when it is not asked, as it could not open connections itself. */
    readonly avoidedUntil: ReadonlyMap<VmId, Millis>;
    /** By VM: when it last opened a connection. */
    readonly openedAt: ReadonlyMap<VmId, Millis>;
    /**
     * By failure domain: when its peers last failed to open a connection that a peer of another domain opened. What
     * keeps one VM from an endpoint often keeps its whole domain from it. `undefined` stands for an unknown domain.
     */
    readonly outdoneAt: ReadonlyMap<FailureDomain | undefined, Millis>;
    /** Peers of other failure domains that peers there have named, and when each was last named. */
    readonly named: ReadonlyMap<VmId, { readonly peer: Peer; readonly at: Millis; }>;
};
