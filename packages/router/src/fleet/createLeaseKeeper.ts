import type { Clock, VmId } from "@azureshunt/core";
import type { Logger } from "pino";
import type { Either } from "purify-ts";

import type { StoreFailure } from "../ports/StoreFailure.js";
import type { StorePage } from "../ports/StorePage.js";
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
    readonly checkSuspension: () => void;
    /** Time for which an engine accepts orders only from the issuer of its last one. */
    readonly leaseMs: () => number;
    /** Called when this VM has appended a record of the lease. */
    readonly onAppended: () => void;
};

/** The order lease, kept in the store. */
type LeaseKeeper = {
    readonly apply: (event: OrderLeaseEvent) => void;
    readonly current: () => OrderLease;
};

const TOPIC = "azureshunt.order-lease";

/** Runs the state machine of the order lease: performs its reads and appends, and applies their results. */
export function createLeaseKeeper(parts: LeaseParts): LeaseKeeper {
    const { clock, store, logger } = parts;
    const state = { lease: newOrderLease(parts.vm) };

    const apply: LeaseKeeper["apply"] = event => {
        const step = stepOrderLease(state.lease, event, parts.leaseMs(), clock.now());
        state.lease = step.state;
        step.effects.forEach(effect => void perform(effect));
    };

    /** Reads the records from an offset on, or the retained ones if older records have expired. */
    const readFrom = async (from: number): Promise<Either<StoreFailure, StorePage>> => {
        const page = await store.read(TOPIC, from, 0);
        const failure = page.swap().toMaybe().extract();
        return failure?.kind === "expired" ? store.read(TOPIC, failure.first, 0) : page;
    };

    const read = async (): Promise<void> => {
        const page = await readFrom((state.lease.tail?.offset ?? -1) + 1);
        page.caseOf({
            Left: () => apply({ kind: "call-failed" }),
            Right: ({ records, end }) => {
                const known = records.map(({ offset, value }) => ({
                    offset,
                    holder: (value?.toString("utf8") ?? "") as VmId,
                }));
                apply({ kind: "read", records: known, end });
            },
        });
    };

    const append = async (at: number): Promise<void> => {
        const requestedAt = clock.now();
        const appended = await store.appendAt(TOPIC, at, Buffer.from(parts.vm));
        parts.checkSuspension();
        appended.caseOf({
            Left: failure => {
                logger.info({ failure: failure.kind, at }, "Order lease not acquired: the append failed.");
                apply({ kind: "call-failed" });
            },
            Right: offset => {
                apply({ kind: "appended", offset, requestedAt });
                parts.onAppended();
            },
        });
    };

    const perform = (effect: OrderLeaseEffect): Promise<void> => effect.kind === "read" ? read() : append(effect.at);

    return { apply, current: () => state.lease };
}
