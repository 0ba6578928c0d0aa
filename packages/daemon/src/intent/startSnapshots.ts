import { randomUUID } from "node:crypto";

import { RecordId, rendezvousOrder } from "@azureshunt/core";
import { INTENT_LIMITS, snapshotRecords } from "@azureshunt/intent";

import type { DaemonContext } from "../ports/DaemonContext.js";
import type { PartitionLog } from "./PartitionLog.js";

const CHECKS_PER_INTERVAL = 5;

/** VMs that keep each partition. The first writes its snapshots; the others do so later, if they see no new records. */
const KEEPERS_PER_PARTITION = 3;

/**
 * Starts writing snapshots of the partitions, so that their entries outlive the log's retention. Each partition is kept by
 * few VMs, chosen by its name, so that with many VMs no VM reads all partitions.
 *
 * No VM may use a partition for longer than the log's retention. Symptom: nobody can tell whether a key was used, so
 * requests are refused for a whole window. To prevent this, the keepers read and rewrite the partition in any case.
 *
 * @param partition returns the log of a partition
 * @returns a function that stops it
 */
export function startSnapshots(ctx: DaemonContext, partition: (number: number) => PartitionLog): () => void {
    const logger = ctx.logger("intents");
    const lastWrittenAt = new Map<number, number>();

    const rankFor = (number: number): number =>
        rendezvousOrder(`intent-${number}`, ctx.membership.members().map(member => member.vm))
            .indexOf(ctx.settings.vm);

    const keep = async (number: number, rank: number): Promise<void> => {
        const log = partition(number);
        const before = log.view().next;
        const read = await log.catchUp();
        const view = read.orDefault(log.view());
        const now = ctx.clock.now();
        const last = lastWrittenAt.get(number) ?? now;
        lastWrittenAt.set(number, last);
        const isDue = now - last >= INTENT_LIMITS.snapshotMs * (rank + 1);
        if (read.isLeft() || view.next === 0 || !isDue || (rank > 0 && view.next > before)) {
            return;
        }
        lastWrittenAt.set(number, now);
        const records = snapshotRecords(view, RecordId.parse(`snapshot-${randomUUID()}`));
        await Promise.all(records.map(record => log.append(RecordId.parse(randomUUID()), record)));
        logger.debug({ partition: number, entries: view.entries.size }, "Wrote a snapshot of an intent partition.");
    };

    const round = (): void =>
        Array.from({ length: INTENT_LIMITS.partitions }, (_, number) => ({ number, rank: rankFor(number) }))
            .filter(({ rank }) => rank >= 0 && rank < KEEPERS_PER_PARTITION)
            .forEach(({ number, rank }) => void keep(number, rank));

    const timer = setInterval(round, INTENT_LIMITS.snapshotMs / CHECKS_PER_INTERVAL);
    timer.unref();
    return () => clearInterval(timer);
}
