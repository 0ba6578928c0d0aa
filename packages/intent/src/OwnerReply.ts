import type { Incarnation } from "@azureshunt/core";

import type { IntentOutcome } from "./IntentOutcome.js";

/** Reply of a VM to the question how an intent written there has proceeded. */
export type OwnerReply = {
    /** The incarnation of the daemon that replies. */
    readonly incarnation: Incarnation;
    /** `absent`: this incarnation does not know the intent. */
    readonly phase: "running" | "withdrawn" | "ended" | "absent";
    readonly outcome: IntentOutcome | undefined;
};
