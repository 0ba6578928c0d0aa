import type { Incarnation } from "@azureshunt/core";

import type { RouteCounts } from "./RouteCounts.js";

/** What a VM has counted since the order, in all processes that it had. */
export type VmCounts = {
    /** Sums over the processes that are not in `byProcess` any more. */
    readonly ended: readonly RouteCounts[];
    /** Totals of the last few processes, the oldest first; `undefined` stands for one whose incarnation is not known. */
    readonly byProcess: ReadonlyMap<Incarnation | undefined, readonly RouteCounts[]>;
};
