/** Requests that callers offer to the endpoints of a service, and the VMs that place them. */
export type OfferedLoad = {
    /** Requests a second that this VM places. */
    readonly ownPerSecond: number;
    /** The same some seconds ago. */
    readonly ownEarlier: number;
    /** Requests a second that the other VMs place, as they last stated. */
    readonly othersPerSecond: number;
    /** Number of VMs, including this one, and of those that are silent. */
    readonly vms: number;
    readonly silentVms: number;
    /** Whether the other VMs may not have stated yet how much they place. */
    readonly isSettling: boolean;
};
