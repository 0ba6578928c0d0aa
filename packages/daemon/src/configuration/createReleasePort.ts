import { randomUUID } from "node:crypto";

import type { RecordId } from "@azureshunt/core";
import type { Configuration, ConfigurationState, ReleaseNote, Verdict } from "@azureshunt/release";

import { spawnAggregate } from "../actors/spawnAggregate.js";
import type { DaemonContext } from "../ports/DaemonContext.js";
import type { ReleasePort } from "../ports/ReleasePort.js";
import { acceptNote } from "./acceptNote.js";
import type { AcceptOutcome } from "./AcceptOutcome.js";
import { configurationStream } from "./configurationStream.js";
import { initialReader } from "./initialReader.js";
import type { ReaderEffect } from "./ReaderEffect.js";
import type { ReaderEvent } from "./ReaderEvent.js";
import type { ReaderState } from "./ReaderState.js";
import { startGossip } from "./startGossip.js";
import { startSnapshots } from "./startSnapshots.js";
import { stepReader } from "./stepReader.js";

const PAGE_RECORDS = 256;
const BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 2_000;
const START_TIMEOUT_MS = 1_000;

type Listener = (cfg: Configuration) => void;
type Waiter = { readonly id: RecordId; readonly settle: (verdict: Verdict | undefined) => void; };

/** The configuration in force on this daemon, with the operation that changes it. */
type Release = ReleasePort & {
    /** State of the stream's reader, for status and gossip. */
    readonly reader: () => ReaderState;
    /** Appends a note under a record id, by default a new one, and returns the outcome. */
    readonly accept: (note: ReleaseNote, id?: RecordId) => Promise<AcceptOutcome>;
    readonly stop: () => void;
};

/**
 * Follows the configuration stream of the platform's log, exchanges its state with peers, and appends release notes.
 *
 * @param ctx the daemon's context without the port created here
 */
export function createReleasePort(ctx: Omit<DaemonContext, "release">): Release {
    const { clock, log, pauses, random, metrics } = ctx;
    const logger = ctx.logger("configuration");
    const listeners = new Set<Listener>();
    const waiters = new Set<Waiter>();
    const stopController = new AbortController();

    /** Times in which this process did not run. */
    const paused = { pausedMs: 0, suspensions: 0 };
    const unregister = [
        pauses.register("counted", ({ ms }) => {
            paused.pausedMs += ms;
        }),
        pauses.register("uncounted", () => {
            paused.suspensions += 1;
            reader.tell({ kind: "suspended" });
        }),
    ];

    const read = async (effect: Extract<ReaderEffect, { kind: "read"; }>): Promise<ReaderEvent> => {
        const { from, waitMs, failures } = effect;
        if (failures > 0) {
            const backoff = Math.min(MAX_BACKOFF_MS, BACKOFF_MS * 2 ** Math.min(failures, 10));
            await new Promise(resolve => setTimeout(resolve, backoff * (0.5 + random() / 2)));
        }
        pauses.check();
        const { pausedMs, suspensions } = paused;
        const page = await log.read(configurationStream, from, PAGE_RECORDS, waitMs, stopController.signal);
        // What was answered before a pause is read after it.
        pauses.check();
        if (paused.suspensions > suspensions) {
            return { kind: "failed" };
        }
        return page.caseOf<ReaderEvent>({
            Left: failure =>
                failure.kind === "expired" ? { kind: "expired", start: failure.start } : { kind: "failed" },
            Right: ({ start, end, records }) => ({
                kind: "page",
                from,
                start,
                end,
                records: records.map(record => ({ ...record, data: record.data })),
                pausedMs: paused.pausedMs - pausedMs,
            }),
        });
    };

    const settle = (fold: ConfigurationState): void =>
        [...waiters].forEach(waiter => {
            const verdict = fold.recent.get(waiter.id);
            if (verdict !== undefined) {
                waiters.delete(waiter);
                waiter.settle(verdict);
            }
        });

    const publish = (configuration: Configuration): void => {
        logger.info({ revision: configuration.revision }, "Configuration in force.");
        listeners.forEach(listener => listener(configuration));
    };

    const perform = (effect: ReaderEffect, apply: (event: ReaderEvent) => void): void => {
        switch (effect.kind) {
            case "read":
                void read(effect).then(event => stopController.signal.aborted || apply(event));
                return;
            case "advanced":
                settle(effect.fold);
                return;
            case "publish":
                publish(effect.configuration);
        }
    };

    const reader = spawnAggregate<ReaderState, ReaderEvent, ReaderEffect>(ctx.system, {
        name: "configuration",
        initial: initialReader,
        now: clock.now,
        reduce: stepReader,
        perform,
    });
    perform({ kind: "read", from: 0, waitMs: 0, failures: 0 }, reader.tell);

    const gossip = startGossip({ ctx, state: reader.state, apply: reader.tell });
    const snapshots = startSnapshots(ctx, reader.state);
    const endStart = (): void => reader.tell({ kind: "started" });
    const startTimer = setTimeout(endStart, START_TIMEOUT_MS);
    const hasConfiguration = (): boolean => reader.state().fold.configuration.revision > 0;
    void gossip.firstRound.then(() => hasConfiguration() && endStart());

    const verdictOf = (id: RecordId, waitMs: number): Promise<Verdict | undefined> => {
        const known = reader.state().fold.recent.get(id);
        if (known !== undefined || waitMs <= 0) {
            return Promise.resolve(known);
        }
        return new Promise(resolve => {
            const timer = setTimeout(() => waiter.settle(undefined), waitMs);
            const waiter: Waiter = {
                id,
                settle: verdict => {
                    clearTimeout(timer);
                    waiters.delete(waiter);
                    resolve(verdict);
                },
            };
            waiters.add(waiter);
        });
    };

    const current = (): Configuration | undefined => {
        const { fold, isStarting } = reader.state();
        return isStarting || fold.configuration.revision === 0 ? undefined : fold.configuration;
    };
    const staleness = (): number => {
        pauses.check();
        const { confirmedAt } = reader.state();
        return confirmedAt === undefined ? Number.POSITIVE_INFINITY : clock.now() - confirmedAt;
    };
    metrics.gauge("azureshunt_configuration_revision", "Revision in force here", () => current()?.revision ?? 0);
    metrics.gauge("azureshunt_configuration_staleness_ms", "Milliseconds since the revision was confirmed", staleness);

    return {
        current,
        staleness,
        reader: reader.state,
        accept: (note, id = randomUUID() as string as RecordId) =>
            acceptNote({ append: log.append, verdictOf, now: clock.now }, id, note),
        subscribe: onChange => {
            listeners.add(onChange);
            return () => void listeners.delete(onChange);
        },
        stop: () => {
            clearTimeout(startTimer);
            unregister.forEach(each => each());
            stopController.abort();
            void gossip.stop();
            void snapshots.stop();
            reader.stop();
        },
    };
}
