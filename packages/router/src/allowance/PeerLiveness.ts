import type { Millis } from "@azureshunt/core";

import type { Spender } from "./Spender.js";

/** How many other VMs there are, and which of them have been silent lately. */
export type PeerLiveness = {
    readonly peers: number;
    /** For each silent VM, the spender whose counter its spending will be part of; one entry per silent VM. */
    readonly silent: readonly Spender[];
    /** Time until all VMs have received what one of them spends. */
    readonly propagationMs: Millis;
    /**
     * True if there may be more VMs: the list of VMs has not been read, and no relay's counts of all VMs are used in
     * its place. `undefined` counts as false.
     */
    readonly isPartial?: boolean;
};
