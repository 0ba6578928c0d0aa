import type { Millis, OrganisationId } from "@azureshunt/core";

import type { WaitingRequest } from "./WaitingRequest.js";

/** The requests of a VM that wait for a service, and what it has sent there. */
export type WaitQueue = {
    readonly waiting: readonly WaitingRequest[];
    /** Requests of this VM at the service, by organisation; none are left out. */
    readonly inProgress: ReadonlyMap<OrganisationId | undefined, number>;
    /** Requests sent in the last second, oldest first, counted in short intervals that begin at `from`. */
    readonly recentlySent: readonly { readonly from: Millis; readonly count: number; }[];
    /** Whether the VM shuts down; nothing waits any more. */
    readonly isClosed: boolean;
};
