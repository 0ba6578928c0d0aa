import { randomUUID } from "node:crypto";

import { RecordId, rendezvousOrder } from "@azureshunt/core";
import { INTENT_LIMITS, snapshotRecords } from "@azureshunt/intent";

import type { DaemonContext } from "../ports/DaemonContext.js";
import type { PartitionLog } from "./PartitionLog.js";

const CHECKS_PER_INTERVAL = 5;

/** VMs that keep a partition: the first writes its snapshots, the next ones step in when they see none. */
const KEEPERS = 3;

/**
 * Carries every partition past the log's retention. A partition is kept by few VMs, chosen by its name, so that no VM
 * reads all of them where there are many VMs.
 *
 * Failure: no VM uses a partition for longer than the log keeps records. It shows as keys that nobody can vouch for, and
 * thus as refusals for a whole window. Guard: the keepers read it and write it anew in any case.
 *
 * @param partition gives the log of a partition
 * @returns a function that ends it
 */
export function keepSnapshots(ctx: DaemonContext, partition: (number: number) => PartitionLog): () => void {
    const logger = ctx.logger("intents");
    const written = new Map<number, number>();

    const rankFor = (number: number): number =>
        rendezvousOrder(`intent-${number}`, ctx.membership.members().map(member => member.vm))
            .indexOf(ctx.settings.vm);

    const keep = async (number: number, rank: number): Promise<void> => {
        const log = partition(number);
        const before = log.view().next;
        const caught = await log.catchUp();
        const view = caught.orDefault(log.view());
        const now = ctx.clock.now();
        const last = written.get(number) ?? now;
        written.set(number, last);
        const isDue = now - last >= INTENT_LIMITS.snapshotMs * (rank + 1);
        if (caught.isLeft() || view.next === 0 || !isDue || (rank > 0 && view.next > before)) {
            return;
        }
        written.set(number, now);
        const records = snapshotRecords(view, RecordId.parse(`snapshot-${randomUUID()}`));
        await Promise.all(records.map(record => log.append(RecordId.parse(randomUUID()), record)));
        logger.debug({ partition: number, entries: view.entries.size }, "Snapshot written.");
    };

    const round = (): void =>
        Array.from({ length: INTENT_LIMITS.partitions }, (_, number) => ({ number, rank: rankFor(number) }))
            .filter(({ rank }) => rank >= 0 && rank < KEEPERS)
            .forEach(({ number, rank }) => void keep(number, rank));

    const timer = setInterval(round, INTENT_LIMITS.snapshotMs / CHECKS_PER_INTERVAL);
    timer.unref();
    return () => clearInterval(timer);
}
