import type { Millis, RecordId } from "@azureshunt/core";

import type { IntentOutcome } from "./IntentOutcome.js";
import type { KeyDigest } from "./KeyDigest.js";

/**
 * An intent of this process. `open`: written, nothing sent. `begun`: the request may have gone out. `withdrawn`: it never
 * will. `ended`: it has its outcome.
 */
export type OwnIntent = {
    readonly intentId: RecordId;
    readonly key: KeyDigest;
    readonly fingerprint: string;
    /** When this process decided to append it; before the log can have it. */
    readonly since: Millis;
    readonly phase: "open" | "begun" | "withdrawn" | "ended";
    readonly outcome: IntentOutcome | undefined;
};
