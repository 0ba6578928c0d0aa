import type { Incarnation } from "@azureshunt/core";

import type { IntentOutcome } from "./IntentOutcome.js";

/** What a VM says of an intent that was written there. */
export type OwnerReply = {
    /** The run of the daemon that answers. */
    readonly incarnation: Incarnation;
    /** `absent`: this run knows nothing of it. */
    readonly phase: "running" | "withdrawn" | "ended" | "absent";
    readonly outcome: IntentOutcome | undefined;
};
