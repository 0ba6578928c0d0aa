import type { RecordId } from "@azureshunt/core";
import type { IntentOutcome, KeyDigest } from "@azureshunt/intent";

/** Records how the intents of this process ended; retries while the log is unavailable. */
export type IntentRecorder = {
    /** Settles once the outcome is recorded, or after a short time, while the record is still retried. */
    readonly recordOutcome: (intentId: RecordId, key: KeyDigest, outcome: IntentOutcome) => Promise<void>;
    /** Withdraws an intent, first in this process and then by a record. Does nothing if the intent has begun. */
    readonly withdraw: (intentId: RecordId, key: KeyDigest) => Promise<void>;
    /** Records a withdrawal again, as the intent's own append may have reached the log after the first withdrawal. */
    readonly repeatWithdrawal: (intentId: RecordId) => void;
    readonly stop: () => void;
};
