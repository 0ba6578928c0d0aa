import type { Clock, VmId } from "@azureshunt/core";
import type { Logger } from "pino";

import type { StorePort } from "../ports/StorePort.js";
import { newOrderLease } from "./newOrderLease.js";
import type { OrderLease } from "./OrderLease.js";
import type { OrderLeaseEffect } from "./OrderLeaseEffect.js";
import type { OrderLeaseEvent } from "./OrderLeaseEvent.js";
import { stepOrderLease } from "./stepOrderLease.js";

type LeaseParts = {
    readonly clock: Clock;
    readonly vm: VmId;
    readonly store: StorePort;
    readonly logger: Logger;
    readonly checkPause: () => void;
    /** How long an engine's last order binds it to its giver. */
    readonly leaseMs: () => number;
    /** This VM has appended a record of the lease. */
    readonly onAppended: () => void;
};

/** Keeps the order lease in the store. */
type LeaseKeeper = {
    readonly tell: (event: OrderLeaseEvent) => void;
    readonly current: () => OrderLease;
};

const TOPIC = "azureshunt.order-lease";

/** Runs the state machine of the order lease: performs its reads and appends, and tells it what came of them. */
export function createLeaseKeeper(parts: LeaseParts): LeaseKeeper {
    const { clock, store, logger } = parts;
    const held = { lease: newOrderLease(parts.vm) };

    const tell: LeaseKeeper["tell"] = event => {
        const step = stepOrderLease(held.lease, event, parts.leaseMs(), clock.now());
        held.lease = step.state;
        step.effects.forEach(effect => void perform(effect));
    };

    const read = async (): Promise<void> => {
        const page = await store.read(TOPIC, (held.lease.tail?.offset ?? -1) + 1, 0);
        page.caseOf({
            Left: failure => {
                if (failure.kind === "expired") {
                    // Older records are gone, so nobody holds by them; the end is where the oldest kept one lies.
                    tell({ kind: "read", records: [], end: failure.first });
                    return;
                }
                tell({ kind: "unsure" });
            },
            Right: ({ records, end }) => {
                const known = records.map(({ offset, value }) => ({
                    offset,
                    holder: (value?.toString("utf8") ?? "") as VmId,
                }));
                tell({ kind: "read", records: known, end });
            },
        });
    };

    const append = async (at: number): Promise<void> => {
        const askedAt = clock.now();
        const appended = await store.appendAt(TOPIC, at, Buffer.from(parts.vm));
        parts.checkPause();
        appended.caseOf({
            Left: failure => {
                logger.info({ failure: failure.kind, at }, "Order lease not taken.");
                tell({ kind: "unsure" });
            },
            Right: offset => {
                tell({ kind: "appended", offset, askedAt });
                parts.onAppended();
            },
        });
    };

    const perform = (effect: OrderLeaseEffect): Promise<void> => effect.kind === "read" ? read() : append(effect.at);

    return { tell, current: () => held.lease };
}
