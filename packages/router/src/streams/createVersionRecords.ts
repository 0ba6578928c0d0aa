import type { RecordedVersions } from "@azureshunt/continuation";
import type { Clock, Millis } from "@azureshunt/core";
import type { Logger } from "pino";

import type { StorePort } from "../ports/StorePort.js";
import { decodeRecordedVersions } from "./decodeRecordedVersions.js";

type VersionRecordsParts = {
    readonly clock: Clock;
    readonly store: Pick<StorePort, "newest" | "put">;
    readonly onRead: (recorded: readonly RecordedVersions[]) => void;
    /** Called with what the store names, after each read or write; with `undefined` after a read that failed. */
    readonly onNamed: (recorded: readonly RecordedVersions[] | undefined, asOf: Millis) => void;
    /** Whether this VM knows of a version that the store is not known to name. */
    readonly lacksNames: () => boolean;
    /** Returns the records that the store should have, if they differ from those that it has. */
    readonly wanted: (recorded: readonly RecordedVersions[]) => readonly RecordedVersions[];
    /** Whether this VM needs the records. */
    readonly mayRead: () => boolean;
    /** Whether this VM reads the registry for the others, and so is the first to know of a version. */
    readonly isWriter: () => boolean;
    readonly logger: Logger;
};

/** Keeps the software versions of services in the store, as nothing else tells of them after all VMs have started again. */
type VersionRecords = {
    /** Reads the records once, and writes those that changed. */
    readonly tick: () => void;
    /** Resolves once the records have been read, or the first read has failed; at once if this VM reads none. */
    readonly whenRead: () => Promise<void>;
};

const TOPIC = "keyed.azureshunt.versions";
/** Time between two calls while the store does not answer, or the topic has changed. */
const RETRY_MS: Millis = 1_000;
/** Time between two reads while the store does not name a version that another VM is to record. */
const UNNAMED_RETRY_MS: Millis = 500;

/** Creates the records of a VM that has not read them yet. */
export function createVersionRecords(parts: VersionRecordsParts): VersionRecords {
    const { clock, store, logger } = parts;
    const state = {
        recorded: undefined as readonly RecordedVersions[] | undefined,
        end: 0,
        isBusy: false,
        triedAt: -Infinity as Millis,
    };
    const first = { resolve: (): void => undefined };
    const firstRead = new Promise<void>(resolve => {
        first.resolve = resolve;
    });
    const readNames = async (): Promise<void> => {
        const requestedAt = clock.now();
        const page = await store.newest(TOPIC);
        page.caseOf({
            Left: failure => {
                logger.info({ failure: failure.kind }, "Reading the recorded software versions failed.");
                parts.onNamed(undefined, requestedAt);
            },
            Right: ({ records, end }) => {
                state.recorded = records.flatMap(({ key, value }) => decodeRecordedVersions(key, value) ?? []);
                state.end = end;
                parts.onNamed(state.recorded, requestedAt);
            },
        });
    };
    const read = async (): Promise<void> => {
        await readNames();
        if (state.recorded !== undefined) {
            parts.onRead(state.recorded);
        }
        first.resolve();
    };
    /** A late write must not replace a newer record, so the topic must still end where it was read. */
    const write = async (record: RecordedVersions, recorded: readonly RecordedVersions[]): Promise<void> => {
        const value = Buffer.from(JSON.stringify(record.versions));
        const written = await store.put(TOPIC, record.service, value, state.end);
        written.caseOf({
            Left: failure => {
                logger.info({ failure: failure.kind }, "Recording the software versions of a service failed.");
                state.recorded = undefined;
            },
            Right: offset => {
                logger.info({ ...record }, "Software versions of a service recorded.");
                state.end = offset + 1;
                state.recorded = [...recorded.filter(({ service }) => service !== record.service), record];
                parts.onNamed(state.recorded, clock.now());
            },
        });
    };
    const run = async (call: () => Promise<void>): Promise<void> => {
        state.isBusy = true;
        state.triedAt = clock.now();
        await call();
        state.isBusy = false;
    };
    return {
        whenRead: () => parts.mayRead() ? firstRead : Promise.resolve(),
        tick: () => {
            const { recorded } = state;
            if (state.isBusy) {
                return;
            }
            if (recorded === undefined) {
                if (clock.now() - state.triedAt >= RETRY_MS && (parts.mayRead() || parts.lacksNames())) {
                    void run(read);
                }
                return;
            }
            const [record] = parts.isWriter() ? parts.wanted(recorded) : [];
            if (record !== undefined) {
                void run(() => write(record, recorded));
            }
            else if (clock.now() - state.triedAt >= UNNAMED_RETRY_MS && parts.lacksNames()) {
                void run(readNames);
            }
        },
    };
}
