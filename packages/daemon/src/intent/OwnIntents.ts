import type { Millis, RecordId } from "@azureshunt/core";
import type { IntentOutcome, KeyDigest, OwnerReply, OwnIntent } from "@azureshunt/intent";

/** The intents of this process, and how far each has come. */
export type OwnIntents = {
    readonly open: (intentId: RecordId, key: KeyDigest, fingerprint: string, now: Millis) => void;
    /** Returns the intent of a key that is open or begun; undefined if there is none. */
    readonly running: (key: KeyDigest) => OwnIntent | undefined;
    /** Marks an intent as begun; returns false if it may no longer be used. */
    readonly begin: (intentId: RecordId, now: Millis) => boolean;
    /** Marks a begun intent as open again, after a try that certainly did not run the request. */
    readonly reopen: (intentId: RecordId) => void;
    /** Marks an intent as withdrawn; returns false if it has begun. */
    readonly withdraw: (intentId: RecordId) => boolean;
    readonly end: (intentId: RecordId, outcome: IntentOutcome) => void;
    /** Deletes an intent, once its end is in the log or it was not used. */
    readonly forget: (intentId: RecordId) => void;
    /** Returns the reply to a VM that queries an intent; `absent` if this process does not have it. */
    readonly reply: (intentId: RecordId) => Pick<OwnerReply, "phase" | "outcome">;
};
