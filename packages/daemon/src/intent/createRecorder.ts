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

/** How long a caller's answer waits for its record; repetitions elsewhere ask this process until it is there. */
const ANSWER_WAIT_MS = 300;

/**
 * Makes the recorder of how this process's intents ended.
 *
 * Failure: the log is down when a request ends. It shows as a repetition that gets no answer, or as a key that stays
 * taken. Guard: the record is tried again until it is there; meanwhile this process answers for it.
 *
 * @param partition gives the log of a partition
 */
export function createRecorder(
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
    const recordUntilWindow = (key: KeyDigest, data: IntentRecord): Promise<void> =>
        record(key, data, ctx.clock.now() + INTENT_LIMITS.windowMs);
    const forgetLater = (intentId: RecordId): void => {
        const timer = setTimeout(() => {
            own.forget(intentId);
            withdrawals.delete(intentId);
        }, INTENT_LIMITS.runningMs);
        timer.unref();
    };
    const withdrawRecord = (intentId: RecordId, key: KeyDigest): Promise<void> =>
        recordUntilWindow(key, { type: "withdrawn", intentId, key });

    return {
        end: async (intentId, key, outcome) => {
            own.end(intentId, outcome);
            const recorded = recordUntilWindow(key, { type: "outcome", intentId, key, outcome })
                .then(() => forgetLater(intentId));
            await Promise.race([recorded, sleep(ANSWER_WAIT_MS)]);
        },
        withdraw: (intentId, key) => {
            if (!own.withdraw(intentId)) {
                return Promise.resolve();
            }
            ctx.metrics.count("azureshunt_intent_withdrawals_total", "Intents withdrawn before anything was sent.");
            withdrawals.set(intentId, key);
            void withdrawRecord(intentId, key).then(() => forgetLater(intentId));
            return Promise.resolve();
        },
        withdrawAgain: intentId => {
            const key = withdrawals.get(intentId);
            if (key !== undefined) {
                void withdrawRecord(intentId, key);
            }
        },
        stop: () => stopped.abort(),
    };
}
