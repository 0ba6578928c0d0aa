/** Requests that callers offer to the endpoints of a service, and the VMs that place them. */
export type OfferedLoad = {
    /** Requests a second that this VM places. */
    readonly ownPerSecond: number;
    /** The same some seconds ago. */
    readonly ownEarlier: number;
    /** Requests a second that the other VMs place, as they said last. */
    readonly othersPerSecond: number;
    /** VMs, including this one, and those of them that were heard of lately. */
    readonly vms: number;
    readonly heardVms: number;
    /** Whether the other VMs may not have said yet how much they place. */
    readonly isSettling: boolean;
};
