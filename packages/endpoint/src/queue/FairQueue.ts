import type { OrganisationId } from "@azureshunt/core";

import type { QueueLane } from "./QueueLane.js";

/** Waiting work, ordered by fair shares between organisations and by priority and deadline within each. */
export type FairQueue = {
    /** Virtual time of the work taken last: an organisation that was idle starts here and not in its past. */
    readonly virtualTime: number;
    readonly lanes: ReadonlyMap<OrganisationId, QueueLane>;
};
