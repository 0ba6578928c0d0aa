import type { Millis, VmId } from "@azureshunt/core";

/** Which VMs there are besides this one, and which of them have not been heard lately. */
export type Hearing = {
    readonly peers: number;
    readonly unheard: readonly VmId[];
    /** How long it takes until all VMs have heard what one of them spends. */
    readonly newsMs: Millis;
    /** True while the list of VMs has not been read, so that there may be more of them. */
    readonly isPartial?: boolean;
};
