import type { Millis } from "@azureshunt/core";

import type { createAnswerCounts } from "./createAnswerCounts.js";
import type { createLeadership } from "./createLeadership.js";
import type { RolloutState } from "./RolloutState.js";
import type { RolloutView } from "./RolloutView.js";

/** The state of one rollout at this VM; `leadership` and `status` are used while it leads. */
export type RolloutEntry = {
    view: RolloutView;
    /** Answers that this VM got from both versions. */
    readonly counts: ReturnType<typeof createAnswerCounts>;
    leadership: ReturnType<typeof createLeadership> | undefined;
    status: {
        /** The status in the store as far as this leader knows it: `unread`, or `none` if there is none. */
        known: "unread" | "none" | RolloutState;
        /** End of the topic up to which `known` is the newest status. */
        end: number;
        /** The call to the store that has not ended: a read, or the status that is being written. */
        pending: "read" | RolloutState | undefined;
        retryAt: Millis;
    };
};
