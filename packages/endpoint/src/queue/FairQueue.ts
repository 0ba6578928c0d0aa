import type { OrganisationId } from "@azureshunt/core";

import type { QueueLane } from "./QueueLane.js";

/** Waiting requests, shared fairly between organisations, and ordered by priority and deadline within each. */
export type FairQueue = {
    /** Virtual time of the work taken last. An idle organisation resumes here, so that it gets no credit for idling. */
    readonly virtualTime: number;
    readonly lanes: ReadonlyMap<OrganisationId, QueueLane>;
};
