import type { Millis } from "@azureshunt/core";

import type { Spender } from "./Spender.js";

/** How many other VMs there are, and which of them have been silent lately. */
export type PeerLiveness = {
    readonly peers: number;
    /** For each silent VM, the spender whose counter its spending will be part of; one entry per silent VM. */
    readonly silent: readonly Spender[];
    /** Time until all VMs have received what one of them spends. */
    readonly propagationMs: Millis;
    /** True until the list of VMs has been read: there may be more of them. */
    readonly isPartial?: boolean;
};
