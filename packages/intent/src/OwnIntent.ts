import type { Millis, RecordId } from "@azureshunt/core";

import type { IntentOutcome } from "./IntentOutcome.js";
import type { KeyDigest } from "./KeyDigest.js";

/**
 * An intent of this process. `open`: the intent is written, nothing of the request is sent. `begun`: the request may
 * have been sent. `withdrawn`: it never will be. `ended`: its outcome is known.
 */
export type OwnIntent = {
    readonly intentId: RecordId;
    readonly key: KeyDigest;
    readonly fingerprint: string;
    /** When this process decided to append the intent; earlier than its record in the log. */
    readonly since: Millis;
    readonly phase: "open" | "begun" | "withdrawn" | "ended";
    readonly outcome: IntentOutcome | undefined;
};
