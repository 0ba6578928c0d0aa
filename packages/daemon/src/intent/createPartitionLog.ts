import type { RecordId } from "@azureshunt/core";
import { emptyPartition, foldIntents, INTENT_LIMITS, IntentRecord, loadPartition } from "@azureshunt/intent";
import type { IntentPartition, LoggedIntent } from "@azureshunt/intent";
import type { LogPort } from "@azureshunt/log";
import { dispatch, spawn, stop } from "nact";
import type { Either } from "purify-ts";
import { Left, Right } from "purify-ts";

import type { DaemonContext } from "../ports/DaemonContext.js";
import type { PartitionLog } from "./PartitionLog.js";

const PAGE_RECORDS = 1_000;
const MAX_LOAD_RETRIES = 3;

type LogRecord = { readonly offset: number; readonly id: RecordId; readonly at: number; readonly data?: unknown; };
type PendingAppend = {
    readonly id: RecordId;
    readonly record: IntentRecord;
    readonly done: (result: Either<"unreachable" | "lost", void>) => void;
};
type PendingRead = (result: Either<Error, IntentPartition>) => void;

const toLogged = ({ offset, id, at, data }: LogRecord): LoggedIntent => {
    const parsed = IntentRecord.safeParse(data);
    return { offset, id, at, record: parsed.success ? parsed.data : undefined };
};

/**
 * Creates a reader and writer of one partition of the intents. Each is an actor that makes one call at a time and batches
 * all requests that arrive meanwhile, so that the log gets few, large calls.
 *
 * @param number the partition's number, from 0
 */
export function createPartitionLog(ctx: DaemonContext, number: number): PartitionLog {
    const stream = `intent-${number}`;
    const stopped = new AbortController();
    const watched = new Map<RecordId, boolean>();
    const state: { partition: IntentPartition | undefined; } = { partition: undefined };
    const pending: { appends: PendingAppend[]; reads: PendingRead[]; } = { appends: [], reads: [] };

    const markRead = (records: readonly LoggedIntent[]): void =>
        records.filter(({ id }) => watched.has(id)).forEach(({ id }) => watched.set(id, true));

    const read = (from: number): ReturnType<LogPort["read"]> =>
        ctx.log.read(stream, from, PAGE_RECORDS, 0, stopped.signal);

    /** Reads all records that the log has. If the log drops its oldest records meanwhile, reading starts over. */
    const load = async (from: number, retriesLeft: number): Promise<Either<Error, IntentPartition>> => {
        const collect = async (
            next: number,
            earlier: readonly LoggedIntent[],
        ): Promise<Either<number, LoggedIntent[]>> => {
            const page = await read(next);
            return page.caseOf<Promise<Either<number, LoggedIntent[]>>>({
                Left: failure => Promise.resolve(Left(failure.kind === "expired" ? failure.start : -1)),
                Right: ({ records, end }) => {
                    const all = [...earlier, ...records.map(toLogged)];
                    const after = next + records.length;
                    return records.length === 0 || after >= end ? Promise.resolve(Right(all)) : collect(after, all);
                },
            });
        };
        const collected = await collect(from, []);
        return collected.caseOf<Promise<Either<Error, IntentPartition>>>({
            Left: start =>
                start < 0 || retriesLeft === 0
                    ? Promise.resolve(Left(new Error(`${stream} cannot be read`)))
                    : load(start, retriesLeft - 1),
            Right: records => {
                markRead(records);
                return Promise.resolve(Right(loadPartition(from, records, INTENT_LIMITS.windowMs)));
            },
        });
    };

    const follow = async (partition: IntentPartition): Promise<Either<Error, IntentPartition>> => {
        const page = await read(partition.next);
        return page.caseOf<Promise<Either<Error, IntentPartition>>>({
            Left: failure =>
                failure.kind === "expired"
                    ? load(failure.start, MAX_LOAD_RETRIES)
                    : Promise.resolve(Left(new Error(`${stream} cannot be read`))),
            Right: ({ records, end }) => {
                const logged = records.map(toLogged);
                markRead(logged);
                const folded = foldIntents(partition, logged, INTENT_LIMITS.windowMs);
                return records.length === 0 || folded.next >= end
                    ? Promise.resolve(Right(folded))
                    : follow(folded);
            },
        });
    };

    const readAll = async (): Promise<void> => {
        const waiting = pending.reads;
        pending.reads = [];
        if (waiting.length === 0) {
            return;
        }
        const result = await (state.partition === undefined ? load(0, MAX_LOAD_RETRIES) : follow(state.partition));
        result.ifRight(partition => {
            state.partition = partition;
        });
        waiting.forEach(done => done(result));
    };

    const appendAll = async (): Promise<void> => {
        const batch = pending.appends;
        pending.appends = [];
        if (batch.length === 0) {
            return;
        }
        const appended = await ctx.log.append(stream, batch.map(({ id, record }) => ({ id, data: record })));
        const result = appended
            .map(() => undefined)
            .mapLeft(failure => (failure.kind === "unreachable" ? "unreachable" as const : "lost" as const));
        batch.forEach(({ done }) => done(result));
    };

    const actorOptions = { onCrash: (_message: unknown, _err: unknown, actor: { resume: symbol; }) => actor.resume };
    const reader = spawn(ctx.system, readAll, `${stream}-reader`, actorOptions as object);
    const writer = spawn(ctx.system, appendAll, `${stream}-writer`, actorOptions as object);

    return {
        view: () => state.partition ?? emptyPartition(0),
        catchUp: () =>
            new Promise(resolve => {
                pending.reads.push(resolve);
                dispatch(reader, undefined);
            }),
        append: (id, record) =>
            new Promise(resolve => {
                pending.appends.push({ id, record, done: resolve });
                dispatch(writer, undefined);
            }),
        watch: id => {
            watched.set(id, false);
            return () => watched.get(id) === true;
        },
        unwatch: id => void watched.delete(id),
        stop: () => {
            stopped.abort();
            stop(reader);
            stop(writer);
        },
    };
}
