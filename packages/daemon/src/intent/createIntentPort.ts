import type { RecordId } from "@azureshunt/core";
import { INTENT_LIMITS } from "@azureshunt/intent";

import type { DaemonContext } from "../ports/DaemonContext.js";
import type { IntentPort } from "../ports/IntentPort.js";
import { admitIntent } from "./admitIntent.js";
import { createIntentRecorder } from "./createIntentRecorder.js";
import { createOwnIntents } from "./createOwnIntents.js";
import { createPartitionLog } from "./createPartitionLog.js";
import type { PartitionLog } from "./PartitionLog.js";
import { startSnapshots } from "./startSnapshots.js";

const UNUSED_CHECK_MS = 60_000;
const MAX_UNUSED_MS = 15 * UNUSED_CHECK_MS;

type OpenPartition = { readonly log: PartitionLog; readonly lastUsedAt: number; };

/**
 * Starts the intent port. A partition is read when it is first used and dropped after `MAX_UNUSED_MS` without use, so that
 * no VM keeps all of them.
 */
export function createIntentPort(ctx: DaemonContext): IntentPort & { readonly stop: () => void; } {
    const partitions = new Map<number, OpenPartition>();
    const own = createOwnIntents();

    const partition = (number: number): PartitionLog => {
        const log = partitions.get(number)?.log ?? createPartitionLog(ctx, number);
        partitions.set(number, { log, lastUsedAt: ctx.clock.now() });
        return log;
    };
    const recorder = createIntentRecorder(ctx, own, partition);

    const forgetUnused = (): void =>
        [...partitions]
            .filter(([, { lastUsedAt }]) => ctx.clock.now() - lastUsedAt > MAX_UNUSED_MS)
            .forEach(([number, { log }]) => {
                log.stop();
                partitions.delete(number);
            });
    const timer = setInterval(forgetUnused, UNUSED_CHECK_MS);
    timer.unref();

    const unregister = ctx.peers.handle("intent", body => {
        const { intentId } = body as { readonly intentId: RecordId; };
        const { phase, outcome } = own.reply(intentId);
        if (phase === "withdrawn") {
            recorder.repeatWithdrawal(intentId);
        }
        return Promise.resolve({
            incarnation: ctx.incarnation,
            phase,
            outcome: outcome === undefined ? "" : JSON.stringify(outcome),
        });
    });
    const stopSnapshots = startSnapshots(ctx, partition);
    const removeGauges = [
        ctx.metrics.gauge(
            "azureshunt_intent_partitions",
            "Intent partitions that this daemon reads.",
            () => partitions.size,
        ),
        ctx.metrics.gauge(
            "azureshunt_intent_entries",
            `Keys that this daemon remembers, for ${INTENT_LIMITS.windowMs} ms each.`,
            () => [...partitions.values()].reduce((sum, { log }) => sum + log.view().entries.size, 0),
        ),
    ];

    return {
        admit: call => admitIntent({ ctx, own, recorder, partition }, call),
        stop: () => {
            clearInterval(timer);
            stopSnapshots();
            unregister();
            removeGauges.forEach(remove => remove());
            recorder.stop();
            [...partitions.values()].forEach(({ log }) => log.stop());
        },
    };
}
