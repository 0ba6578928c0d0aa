import { randomUUID } from "node:crypto";

import type { RecordId } from "@azureshunt/core";
import { rendezvousOrder } from "@azureshunt/core";
import { snapshotRecord } from "@azureshunt/release";

import type { DaemonContext } from "../ports/DaemonContext.js";
import type { Stoppable } from "../Stoppable.js";
import { configurationStream } from "./configurationStream.js";
import { isSnapshotDue } from "./isSnapshotDue.js";
import type { ReaderState } from "./ReaderState.js";

const CHECK_MS = 1_000;
/** Time that each daemon waits for the one before it in the order to append the snapshot. */
const TURN_MS = 3_000;

/**
 * Appends a snapshot of the configuration before the log drops the records that it is folded from. The order of the
 * daemons depends on the offset of the newest snapshot. Each waits for those before it, so usually only one appends. A
 * second copy is harmless.
 */
export function startSnapshots(ctx: Omit<DaemonContext, "release">, state: () => ReaderState): Stoppable {
    const { clock, log, membership, random, settings } = ctx;
    const startedAt = clock.now();
    const turn: { dueAt: number | undefined; } = { dueAt: undefined };

    const turnDelayMs = (): number => {
        const vms = membership.members().map(member => member.vm);
        const order = rendezvousOrder(`snapshot ${state().snapshotOffset}`, vms);
        return Math.max(order.indexOf(settings.vm), 0) * TURN_MS + random() * TURN_MS;
    };

    const append = async (): Promise<void> => {
        const id = randomUUID() as string as RecordId;
        const appended = await log.append(configurationStream, [{ id, data: snapshotRecord(state().fold) }]);
        const outcome = appended.isRight() ? "appended" : "failed";
        ctx.metrics.count("azureshunt_configuration_snapshots_total", "Snapshots appended to the log", { outcome });
    };

    const check = (): void => {
        const now = clock.now();
        if (!isSnapshotDue(state(), now, startedAt, settings.platform.snapshotEveryMs)) {
            turn.dueAt = undefined;
            return;
        }
        turn.dueAt ??= now + turnDelayMs();
        if (now >= turn.dueAt) {
            // The next attempt is a full turn later, so the record is read from the log before another one is appended.
            turn.dueAt = now + TURN_MS;
            void append();
        }
    };
    const timer = setInterval(check, CHECK_MS);
    return { stop: () => clearInterval(timer) };
}
