import type { RecordId } from "@azureshunt/core";
import { emptyPartition, foldIntents, INTENT_LIMITS, IntentRecord, loadPartition } from "@azureshunt/intent";
import type { IntentPartition, LoggedIntent } from "@azureshunt/intent";
import type { LogPort } from "@azureshunt/log";
import { dispatch, spawn, stop } from "nact";
import type { Either } from "purify-ts";
import { Left, Right } from "purify-ts";

import type { DaemonContext } from "../ports/DaemonContext.js";
import type { PartitionLog } from "./PartitionLog.js";

const PAGE = 1_000;
const LOAD_TRIES = 3;

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
 * Reads and writes one partition of the intents. Each direction is an actor that does one call at a time and takes along
 * all that has been asked for meanwhile, so that the log gets few and large calls.
 *
 * @param number the partition's, from 0
 */
export function createPartitionLog(ctx: DaemonContext, number: number): PartitionLog {
    const stream = `intent-${number}`;
    const stopped = new AbortController();
    const watched = new Map<RecordId, boolean>();
    const known: { partition: IntentPartition | undefined; } = { partition: undefined };
    const pending: { appends: PendingAppend[]; reads: PendingRead[]; } = { appends: [], reads: [] };

    const note = (records: readonly LoggedIntent[]): void =>
        records.filter(({ id }) => watched.has(id)).forEach(({ id }) => watched.set(id, true));

    const read = (from: number): ReturnType<LogPort["read"]> => ctx.log.read(stream, from, PAGE, 0, stopped.signal);

    /** Reads all that the log still keeps. The log may drop its oldest records meanwhile; then it begins anew. */
    const load = async (from: number, triesLeft: number): Promise<Either<Error, IntentPartition>> => {
        const collect = async (
            next: number,
            sofar: readonly LoggedIntent[],
        ): Promise<Either<number, LoggedIntent[]>> => {
            const page = await read(next);
            return page.caseOf<Promise<Either<number, LoggedIntent[]>>>({
                Left: failure => Promise.resolve(Left(failure.kind === "expired" ? failure.start : -1)),
                Right: ({ records, end }) => {
                    const all = [...sofar, ...records.map(toLogged)];
                    const after = next + records.length;
                    return records.length === 0 || after >= end ? Promise.resolve(Right(all)) : collect(after, all);
                },
            });
        };
        const collected = await collect(from, []);
        return collected.caseOf<Promise<Either<Error, IntentPartition>>>({
            Left: start =>
                start < 0 || triesLeft === 0
                    ? Promise.resolve(Left(new Error(`${stream} cannot be read`)))
                    : load(start, triesLeft - 1),
            Right: records => {
                note(records);
                return Promise.resolve(Right(loadPartition(from, records, INTENT_LIMITS.windowMs)));
            },
        });
    };

    const follow = async (partition: IntentPartition): Promise<Either<Error, IntentPartition>> => {
        const page = await read(partition.next);
        return page.caseOf<Promise<Either<Error, IntentPartition>>>({
            Left: failure =>
                failure.kind === "expired"
                    ? load(failure.start, LOAD_TRIES)
                    : Promise.resolve(Left(new Error(`${stream} cannot be read`))),
            Right: ({ records, end }) => {
                const logged = records.map(toLogged);
                note(logged);
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
        const result = await (known.partition === undefined ? load(0, LOAD_TRIES) : follow(known.partition));
        result.ifRight(partition => {
            known.partition = partition;
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
        view: () => known.partition ?? emptyPartition(0),
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
