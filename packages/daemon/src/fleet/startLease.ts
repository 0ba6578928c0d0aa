import { randomUUID } from "node:crypto";

import type { Millis, RecordId } from "@azureshunt/core";
import { rendezvousOrder } from "@azureshunt/core";
import type { LeaseEvent, LeaseState } from "@azureshunt/fleet";
import { newLease, stepLease } from "@azureshunt/fleet";

import { spawnAggregate } from "../actors/spawnAggregate.js";
import type { DaemonContext } from "../ports/DaemonContext.js";

const PAGE_RECORDS = 100;
const READ_WAIT_MS = 2_000;
const RETRY_MS = 500;
const TICK_MS = 250;

/** The order lease of this daemon's failure domain. */
type LeaseHandle = { readonly state: () => LeaseState; readonly stop: () => void; };

/**
 * Starts following the lease stream of this daemon's failure domain, and claims and renews the lease when `stepLease`
 * requires it.
 *
 * @param ttlMs time for which a claim or renewal is valid
 */
export function startLease(ctx: DaemonContext, ttlMs: Millis): LeaseHandle {
    const { settings, clock, log } = ctx;
    const stream = `lease-${settings.failureDomain}`;
    const logger = ctx.logger("fleet");
    const stopped = new AbortController();

    const append = (id: RecordId, data: unknown, apply: (event: LeaseEvent) => void): void => {
        void log.append(stream, [{ id, data }]).then(answer =>
            answer.ifLeft(failure => {
                // After a lost answer the record may still be written; only a certain failure allows the next append.
                if (failure.kind === "unreachable") {
                    apply({ kind: "append-failed", id });
                }
            })
        );
    };
    const actor = spawnAggregate(ctx.system, {
        name: "lease",
        initial: newLease(settings.vm, ctx.incarnation, ttlMs, clock.now()),
        now: clock.now,
        reduce: stepLease,
        perform: (effect, apply) => append(effect.id, effect.data, apply),
    });

    const follow = async (): Promise<void> => {
        const page = await log.read(stream, actor.state().next, PAGE_RECORDS, READ_WAIT_MS, stopped.signal);
        page.caseOf({
            Right: ({ records }) => actor.tell({ kind: "read", records }),
            Left: failure => {
                if (failure.kind === "expired") {
                    logger.warn({ start: failure.start }, "Lease records expired before this VM read them.");
                    actor.tell({ kind: "expired", start: failure.start });
                }
            },
        });
        if (!stopped.signal.aborted) {
            setTimeout(() => void follow(), page.isLeft() ? RETRY_MS : 0);
        }
    };
    void follow();

    const tick = (): void => {
        const candidates = ctx.membership.members()
            .filter(member => member.failureDomain === settings.failureDomain && member.state === "live")
            .map(member => member.vm);
        const rank = Math.max(0, rendezvousOrder(stream, candidates).indexOf(settings.vm));
        actor.tell({ kind: "tick", rank, id: randomUUID() as string as RecordId });
    };
    const timer = setInterval(tick, TICK_MS);

    const stop = (): void => {
        stopped.abort();
        clearInterval(timer);
        actor.stop();
    };
    return { state: actor.state, stop };
}
