import type { Clock, Millis, VmId } from "@azureshunt/core";
import type { Logger } from "pino";
import type { Either } from "purify-ts";
import { Left, Right } from "purify-ts";

import type { TargetRow } from "../knowledge/TargetRow.js";
import type { StoreFailure } from "../ports/StoreFailure.js";
import type { StorePage } from "../ports/StorePage.js";
import type { StorePort } from "../ports/StorePort.js";
import { readUpTo } from "../store/readUpTo.js";
import type { createUnansweredOrders } from "./createUnansweredOrders.js";
import { decodeLeaseRecord } from "./decodeLeaseRecord.js";
import { encodeLeaseRecord } from "./encodeLeaseRecord.js";
import type { EngineStart } from "./EngineStart.js";
import { holderOf } from "./holderOf.js";
import { isOwnBefore } from "./isOwnBefore.js";
import type { LeaseRecord } from "./LeaseRecord.js";
import { newOrderLease } from "./newOrderLease.js";
import type { OrderLease } from "./OrderLease.js";
import type { OrderLeaseEffect } from "./OrderLeaseEffect.js";
import type { OrderLeaseEvent } from "./OrderLeaseEvent.js";
import { orderTiming } from "./orderTiming.js";
import { stepOrderLease } from "./stepOrderLease.js";

type LeaseParts = {
    readonly clock: Clock;
    readonly vm: VmId;
    readonly store: StorePort;
    readonly logger: Logger;
    readonly checkSuspension: () => void;
    /** Time for which an engine accepts orders only from the issuer of its last one. */
    readonly leaseMs: () => number;
    /** Engines that may be ordered until the next record. */
    readonly orderable: () => readonly EngineStart[];
    /** The orders that a record states, and to which those of the record before are added when it is taken over. */
    readonly unanswered: ReturnType<typeof createUnansweredOrders>;
    /** The target weights that a record states. */
    readonly targets: () => readonly TargetRow[];
    /** Called with the target weights that the record before states, and the latest time at which it was written. */
    readonly onTargets: (targets: readonly TargetRow[], writtenBefore: Millis) => void;
    /** Called when this VM has appended a record of the lease. */
    readonly onAppended: () => void;
};

/** The order lease, kept in the store. */
type LeaseKeeper = {
    readonly apply: (event: OrderLeaseEvent) => void;
    readonly current: () => OrderLease;
    /** Whether this VM's newest record states that it may order the engine. */
    readonly mayOrder: (start: EngineStart) => boolean;
};

const TOPIC = "azureshunt.order-lease";
/** Records read at a time at most; a topic keeps far fewer, as one is appended in each time of a lease. */
const MAX_RECORDS = 20_000;
const LF = 10;

/** What a read tells of records, without what they state. */
type ReadRecords = Omit<Extract<OrderLeaseEvent, { readonly kind: "read"; }>, "kind">;

/** A text of the first line alone: a part of a text would keep all of it. */
const holderIn = (value: Buffer): VmId => {
    const end = value.indexOf(LF);
    return holderOf(value.toString("utf8", 0, end < 0 ? value.length : end));
};

/** Keys of the engines that a record allows to order; `undefined` if it states nothing: then all may be ordered. */
type Orderable = ReadonlySet<string> | undefined;

const keyOf = ({ endpoint, bornAt }: EngineStart): string => `${endpoint} ${bornAt}`;

const allowedByBoth = (before: Orderable, after: Orderable): Orderable =>
    before === undefined || after === undefined
        ? before ?? after
        : new Set([...before].filter(key => after.has(key)));

/**
 * Runs the state machine of the order lease: performs its reads and appends, and applies their results.
 *
 * A process that takes the lease over cannot know which orders of the last holder may still be carried out, nor which
 * engines have started again since. So a record states the engines that its writer may order until the next one, with
 * their starts, and its orders without an answer; no other engine is ordered, and a process reads the record that it
 * takes the lease over from. That also holds if all processes end at once.
 */
export function createLeaseKeeper(parts: LeaseParts): LeaseKeeper {
    const { clock, store, logger, unanswered } = parts;
    const startedAt = clock.now();
    const state = {
        lease: newOrderLease(parts.vm),
        orderable: new Set() as Orderable,
    };

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

    /**
     * Reads the holders up to the end of the topic, in as many pages as that takes: a claim behind records that were not
     * read would not wait for the last holder.
     *
     * Each record names all engines, and a topic may seem to have no end. To keep that from filling the memory, only the
     * holders of a page are kept, and not more than `MAX_RECORDS` are read.
     */
    const readAllFrom = async (from: number): Promise<Either<StoreFailure, ReadRecords>> => {
        const records: ReadRecords["records"][number][] = [];
        const readNext = async (at: number): Promise<Either<StoreFailure, ReadRecords>> => {
            const page = await readFrom(at);
            if (page.isLeft()) {
                return Left(page.extract() as StoreFailure);
            }
            const read = page.unsafeCoerce();
            read.records.forEach(({ offset, value }) =>
                records.push({ offset, holder: holderIn(value ?? Buffer.alloc(0)) })
            );
            const readTo = readUpTo(read, at);
            if (read.records.length === 0 || readTo >= read.end) {
                return Right({ records, end: read.end });
            }
            return records.length >= MAX_RECORDS ? Left({ kind: "too-large" }) : readNext(readTo);
        };
        return readNext(from);
    };

    const read = async (): Promise<void> => {
        const page = await readAllFrom((state.lease.tail?.offset ?? -1) + 1);
        page.caseOf({
            Left: ({ kind }) => {
                if (kind === "too-large") {
                    logger.warn("Order lease not read: its topic has too many records.");
                }
                apply({ kind: "call-failed" });
            },
            Right: ({ records, end }) => apply({ kind: "read", records, end }),
        });
    };

    /** Reads the record at an offset; `undefined` if it is not kept any more. */
    const readRecord = async (offset: number): Promise<Either<StoreFailure, LeaseRecord | undefined>> => {
        const page = await store.read(TOPIC, offset, 0);
        return page
            .map(({ records }) => records.find(record => record.offset === offset))
            .map(record => record && decodeLeaseRecord(record.value))
            .chainLeft(failure => failure.kind === "expired" ? Right(undefined) : Left(failure));
    };

    /**
     * Learns what the record before `at` states, and adds its orders to those that may still be carried out. Its writer
     * issues no more: its claim ran out before this VM may claim, or it ran on this VM.
     */
    const learnStated = (record: LeaseRecord | undefined, at: number): void => {
        const { tail } = state.lease;
        const writtenBefore = tail?.offset === at - 1 ? Math.min(clock.now(), tail.knownSince) : clock.now();
        if (record?.stated !== undefined) {
            unanswered.inherit(record.stated, writtenBefore);
            parts.onTargets(record.stated.targets, writtenBefore);
        }
    };

    const logTakeover = (offset: number, record: LeaseRecord | undefined): void =>
        logger.info({
            offset,
            lastHolder: record?.holder,
            processMs: Math.round(clock.now() - startedAt),
            orderable: record?.stated?.orderable.length,
            unanswered: record?.stated?.unanswered.length,
        }, "Order lease taken over.");

    /** Appends a record that states what may be ordered, and all orders that may still be carried out if all are known. */
    const appendRecord = async (at: number, areOrdersKnown: boolean): Promise<Either<StoreFailure, number>> => {
        const stated = areOrdersKnown
            ? { orderable: parts.orderable(), unanswered: unanswered.all(), targets: parts.targets() }
            : undefined;
        const orderable = stated && new Set(stated.orderable.map(keyOf));
        // The record may take effect whatever becomes of the call, so only what both records allow is ordered meanwhile.
        state.orderable = allowedByBoth(state.orderable, orderable);
        const appended = await store.appendAt(TOPIC, at, encodeLeaseRecord({ holder: parts.vm, stated }));
        appended.ifRight(() => {
            state.orderable = orderable;
        });
        return appended;
    };

    const append = async (at: number): Promise<void> => {
        const isTakeover = at > 0 && !isOwnBefore(state.lease, at);
        const before = isTakeover ? await readRecord(at - 1) : Right(undefined);
        const record = before.toMaybe().extract();
        learnStated(record, at);
        const requestedAt = clock.now();
        const areOrdersKnown = isTakeover
            ? record?.stated !== undefined
            : at === 0 || requestedAt - state.lease.ordersKnownSince > orderTiming.maxTransitMs;
        const appended = before.isLeft() ? before : await appendRecord(at, areOrdersKnown);
        parts.checkSuspension();
        appended.caseOf({
            Left: failure => {
                logger.info({ failure: failure.kind, at }, "Order lease not acquired: a call to the store failed.");
                apply({ kind: "call-failed" });
            },
            Right: () => {
                if (isTakeover) {
                    logTakeover(at, record);
                }
                apply({ kind: "appended", offset: at, requestedAt, areOrdersKnown });
                parts.onAppended();
            },
        });
    };

    const perform = (effect: OrderLeaseEffect): Promise<void> => effect.kind === "read" ? read() : append(effect.at);

    return {
        apply,
        current: () => state.lease,
        mayOrder: start => state.orderable?.has(keyOf(start)) ?? true,
    };
}
