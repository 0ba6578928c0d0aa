import { randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";

import { RecordId } from "@azureshunt/core";
import { INTENT_LIMITS, partitionOf } from "@azureshunt/intent";
import type { IntentRecord, KeyDigest } from "@azureshunt/intent";

import type { DaemonContext } from "../ports/DaemonContext.js";
import type { IntentRecorder } from "./IntentRecorder.js";
import type { OwnIntents } from "./OwnIntents.js";
import type { PartitionLog } from "./PartitionLog.js";

const RETRY_MS = 500;

/** Maximum time that a caller's answer waits for its record. Until it is written, other VMs query this process. */
const MAX_ANSWER_DELAY_MS = 300;

/**
 * Creates the recorder of how this process's intents ended.
 *
 * The log may be unavailable when a request ends. Symptom: a repetition that gets no answer, or a key that stays taken.
 * To prevent this, the record is retried until it is written, for the window of a key at most; meanwhile this process
 * answers queries of other VMs.
 *
 * @param partition returns the log of a partition
 */
export function createIntentRecorder(
    ctx: DaemonContext,
    own: OwnIntents,
    partition: (number: number) => PartitionLog,
): IntentRecorder {
    const stopped = new AbortController();
    const withdrawals = new Map<RecordId, KeyDigest>();

    const record = async (key: KeyDigest, data: IntentRecord, giveUpAt: number): Promise<void> => {
        const appended = await partition(partitionOf(key)).append(RecordId.parse(randomUUID()), data);
        if (appended.isRight() || stopped.signal.aborted || ctx.clock.now() > giveUpAt) {
            return;
        }
        ctx.metrics.count("azureshunt_intent_record_retries_total", "Records of intents tried again, by type.", {
            type: data.type,
        });
        await sleep(RETRY_MS, undefined, { signal: stopped.signal }).catch(() => undefined);
        return record(key, data, giveUpAt);
    };
    const recordWithinWindow = (key: KeyDigest, data: IntentRecord): Promise<void> =>
        record(key, data, ctx.clock.now() + INTENT_LIMITS.windowMs);
    const scheduleForget = (intentId: RecordId): void => {
        const timer = setTimeout(() => {
            own.forget(intentId);
            withdrawals.delete(intentId);
        }, INTENT_LIMITS.maxRunningMs);
        timer.unref();
    };
    const withdrawRecord = (intentId: RecordId, key: KeyDigest): Promise<void> =>
        recordWithinWindow(key, { type: "withdrawn", intentId, key });

    return {
        recordOutcome: async (intentId, key, outcome) => {
            own.end(intentId, outcome);
            const recorded = recordWithinWindow(key, { type: "outcome", intentId, key, outcome })
                .then(() => scheduleForget(intentId));
            await Promise.race([recorded, sleep(MAX_ANSWER_DELAY_MS)]);
        },
        withdraw: (intentId, key) => {
            if (!own.withdraw(intentId)) {
                return Promise.resolve();
            }
            ctx.metrics.count("azureshunt_intent_withdrawals_total", "Intents withdrawn before anything was sent.");
            withdrawals.set(intentId, key);
            void withdrawRecord(intentId, key).then(() => scheduleForget(intentId));
            return Promise.resolve();
        },
        repeatWithdrawal: intentId => {
            const key = withdrawals.get(intentId);
            if (key !== undefined) {
                void withdrawRecord(intentId, key);
            }
        },
        stop: () => stopped.abort(),
    };
}
