import type { Millis, RecordId } from "@azureshunt/core";
import type { IntentOutcome, KeyDigest, OwnerReply, OwnIntent } from "@azureshunt/intent";

/** The intents that this process has written. */
export type OwnIntents = {
    readonly open: (intentId: RecordId, key: KeyDigest, fingerprint: string, now: Millis) => void;
    /** The intent that this process has written last for a key and not ended. */
    readonly running: (key: KeyDigest) => OwnIntent | undefined;
    /** Marks as begun; false when the intent may not be used any more. */
    readonly begin: (intentId: RecordId, now: Millis) => boolean;
    /** Takes the begin back, after a try that surely did not run the request. */
    readonly reopen: (intentId: RecordId) => void;
    /** Marks as withdrawn; false when it has begun. */
    readonly withdraw: (intentId: RecordId) => boolean;
    readonly end: (intentId: RecordId, outcome: IntentOutcome) => void;
    /** Forgets an intent whose end is in the log. */
    readonly forget: (intentId: RecordId) => void;
    /** What to say to a VM that asks. */
    readonly reply: (intentId: RecordId) => Pick<OwnerReply, "phase" | "outcome">;
};
