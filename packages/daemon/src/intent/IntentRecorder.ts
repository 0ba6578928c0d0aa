import type { RecordId } from "@azureshunt/core";
import type { IntentOutcome, KeyDigest } from "@azureshunt/intent";

/** Records how this process's intents ended; goes on trying while the log is down. */
export type IntentRecorder = {
    /** Settles once recorded, or after a short bound while trying goes on. */
    readonly end: (intentId: RecordId, key: KeyDigest, outcome: IntentOutcome) => Promise<void>;
    /** Gives an intent up, first here and then by record. Nothing happens when it has begun. */
    readonly withdraw: (intentId: RecordId, key: KeyDigest) => Promise<void>;
    /** Records a withdrawal again: the intent's own append may have reached the log after it. */
    readonly withdrawAgain: (intentId: RecordId) => void;
    readonly stop: () => void;
};
