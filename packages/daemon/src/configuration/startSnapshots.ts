import { randomUUID } from "node:crypto";

import type { RecordId } from "@azureshunt/core";
import { rendezvousOrder } from "@azureshunt/core";
import { snapshotRecord } from "@azureshunt/release";

import type { DaemonContext } from "../ports/DaemonContext.js";
import type { Stopping } from "../Stopping.js";
import { configurationStream } from "./configurationStream.js";
import { isSnapshotDue } from "./isSnapshotDue.js";
import type { ReaderState } from "./ReaderState.js";

const CHECK_MS = 1_000;
/** Time that each daemon leaves to the one before it in the order. */
const TURN_MS = 3_000;

/**
 * Appends the configuration anew before the log drops it. The daemons take turns in an order that depends on the
 * revision's offset; each waits for those before it, so that usually one appends. A second copy is harmless.
 */
export function startSnapshots(ctx: Omit<DaemonContext, "release">, state: () => ReaderState): Stopping {
    const { clock, log, membership, random, settings } = ctx;
    const since = clock.now();
    const wait: { dueAt: number | undefined; } = { dueAt: undefined };

    const turnMs = (): number => {
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
        if (!isSnapshotDue(state(), now, since, settings.platform.snapshotEveryMs)) {
            wait.dueAt = undefined;
            return;
        }
        wait.dueAt ??= now + turnMs();
        if (now >= wait.dueAt) {
            // The next try is a whole turn away, so that the record is seen in the log before another one is written.
            wait.dueAt = now + TURN_MS;
            void append();
        }
    };
    const timer = setInterval(check, CHECK_MS);
    return { stop: () => clearInterval(timer) };
}
