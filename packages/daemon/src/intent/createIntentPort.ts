import type { RecordId } from "@azureshunt/core";
import { INTENT_LIMITS } from "@azureshunt/intent";

import type { DaemonContext } from "../ports/DaemonContext.js";
import type { IntentPort } from "../ports/IntentPort.js";
import { admitIntent } from "./admitIntent.js";
import { createOwnIntents } from "./createOwnIntents.js";
import { createPartitionLog } from "./createPartitionLog.js";
import { createRecorder } from "./createRecorder.js";
import { keepSnapshots } from "./keepSnapshots.js";
import type { PartitionLog } from "./PartitionLog.js";

const FORGET_CHECK_MS = 60_000;
const UNUSED_MS = 15 * FORGET_CHECK_MS;

type Used = { readonly log: PartitionLog; readonly at: number; };

/**
 * Starts what decides whether a request that may not be repeated may be dispatched. Partitions are read when they are
 * first used and forgotten when they are not used for long, so that no VM holds all of them.
 */
export function createIntentPort(ctx: DaemonContext): IntentPort & { readonly stop: () => void; } {
    const used = new Map<number, Used>();
    const own = createOwnIntents();

    const partition = (number: number): PartitionLog => {
        const log = used.get(number)?.log ?? createPartitionLog(ctx, number);
        used.set(number, { log, at: ctx.clock.now() });
        return log;
    };
    const recorder = createRecorder(ctx, own, partition);

    const forgetUnused = (): void =>
        [...used]
            .filter(([, { at }]) => ctx.clock.now() - at > UNUSED_MS)
            .forEach(([number, { log }]) => {
                log.stop();
                used.delete(number);
            });
    const timer = setInterval(forgetUnused, FORGET_CHECK_MS);
    timer.unref();

    const unregister = ctx.peers.handle("intent", body => {
        const { intentId } = body as { readonly intentId: RecordId; };
        const { phase, outcome } = own.reply(intentId);
        if (phase === "withdrawn") {
            recorder.withdrawAgain(intentId);
        }
        return Promise.resolve({
            incarnation: ctx.incarnation,
            phase,
            outcome: outcome === undefined ? "" : JSON.stringify(outcome),
        });
    });
    const endSnapshots = keepSnapshots(ctx, partition);
    const removeGauges = [
        ctx.metrics.gauge("azureshunt_intent_partitions", "Intent partitions that this daemon reads.", () => used.size),
        ctx.metrics.gauge(
            "azureshunt_intent_entries",
            `Keys that this daemon remembers, for ${INTENT_LIMITS.windowMs} ms each.`,
            () => [...used.values()].reduce((sum, { log }) => sum + log.view().entries.size, 0),
        ),
    ];

    return {
        admit: call => admitIntent({ ctx, own, recorder, partition }, call),
        stop: () => {
            clearInterval(timer);
            endSnapshots();
            unregister();
            removeGauges.forEach(remove => remove());
            recorder.stop();
            [...used.values()].forEach(({ log }) => log.stop());
        },
    };
}
