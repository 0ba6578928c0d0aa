/** What is known of the bodies that an endpoint has not read. */
type UnreadQuery = {
    readonly ownBytes: number;
    /** Of the VMs that this one has received state from lately. */
    readonly othersBytes: number;
    /** Live VMs, including this one. */
    readonly vms: number;
    /** Of these, VMs that this one receives nothing from. */
    readonly silentVms: number;
};

/**
 * Returns how many bytes of bodies an endpoint has not read, of all VMs together. A VM that receives nothing from any
 * other takes each of them to have sent as much as it has itself: if it counted only its own bytes, VMs that are cut off
 * from each other would exceed the bound together.
 */
export function unreadByAll({ ownBytes, othersBytes, vms, silentVms }: UnreadQuery): number {
    const isAlone = vms > 1 && silentVms >= vms - 1;
    return isAlone ? ownBytes * vms : ownBytes + othersBytes;
}
