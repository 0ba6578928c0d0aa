import { createClock } from "@azureshunt/core";
import test from "ava";
import { Left, Right } from "purify-ts";

import type { StorePage } from "../../ports/StorePage.js";
import type { StorePort } from "../../ports/StorePort.js";
import { createTopicMirror } from "../../store/createTopicMirror.js";
import { followTopic } from "../../store/followTopic.js";
import { seededRandom } from "../support/seededRandom.js";

type CatchUp = "all" | "newest";

type Backlog = {
    readonly catchUp: CatchUp;
    readonly records: number;
    /** Records that fit into one page. */
    readonly pageRecords: number;
    /** Records that are appended before each read is answered, while the backlog is read. */
    readonly growth: number;
    /** What the n-th call after the backlog has come about fails with. */
    readonly failures: Readonly<Record<number, "lost" | "expired">>;
};

type Outcome = {
    /** Reads that claimed to be current although they were not. */
    readonly wrong: number;
    readonly calls: number;
    /** Whether a relay would have answered that there are no records that it has not read. */
    readonly hasMirrorSkipped: boolean;
};

const FIRST = 3;
const GROWING_CALLS = 20;

/** Follows a topic of one key whose values are its offsets, and that has grown by a backlog since the first read. */
const play = ({ catchUp, records, pageRecords, growth, failures }: Backlog): Promise<Outcome> =>
    new Promise(resolve => {
        const log = { end: FIRST };
        const seen = { calls: 0, wrong: 0, hasMirrorSkipped: false };
        const known = { newest: -1 };
        const mirror = createTopicMirror(() => false);
        const recordAt = (offset: number) => ({ offset, key: "config", value: Buffer.from(String(offset)) });
        /** End of the topic when the running call was sent. */
        const sent = { end: 0 };
        const answer = (page: () => StorePage) => {
            seen.calls += 1;
            sent.end = log.end;
            const kind = failures[seen.calls];
            log.end += seen.calls <= GROWING_CALLS ? growth : 0;
            if (kind !== undefined) {
                return Promise.resolve(Left(kind === "expired" ? { kind, first: log.end } : { kind }));
            }
            return Promise.resolve(Right(page()));
        };
        const store = {
            newest: () => answer(() => ({ records: [recordAt(log.end - 1)], end: log.end })),
            read: (_: string, from: number) =>
                answer(() => {
                    const length = Math.min(pageRecords, log.end - from);
                    return { records: Array.from({ length }, (__, i) => recordAt(from + i)), end: log.end };
                }),
        } as unknown as StorePort;
        const phase = { isBacklogRead: false };
        const followed = followTopic({
            storeFor: () => store,
            clock: createClock(),
            topic: "topic",
            catchUp,
            waitMs: () => 0,
            dueInMs: () => 0,
            reasonOfRead: () => "reader",
            queryRelay: () => Promise.resolve(undefined),
            mustWaitForRelay: () => false,
            onRestart: () => undefined,
            onFailure: () => undefined,
            onRead: ({ records: read, readTo, isWhole, asOf }) => {
                known.newest = Math.max(known.newest, ...read.map(({ offset }) => offset));
                seen.wrong += asOf !== undefined && known.newest < sent.end - 1 ? 1 : 0;
                mirror.record({ records: read, readTo, isWhole });
                const unread = known.newest + 1;
                seen.hasMirrorSkipped ||= (mirror.answer(unread)?.end ?? 0) > unread;
                if (!phase.isBacklogRead) {
                    phase.isBacklogRead = true;
                    seen.calls = 0;
                    log.end += records;
                }
                else if (asOf !== undefined) {
                    followed.stop();
                    resolve(seen);
                }
            },
        });
    });

const backlog: Backlog = { catchUp: "all", records: 10, pageRecords: 4, growth: 0, failures: {} };
const cases: readonly (Backlog & { readonly name: string; readonly calls: number; })[] = [
    { ...backlog, name: "no backlog", records: 0, calls: 1 },
    { ...backlog, name: "a backlog of exactly one page", records: 4, calls: 1 },
    { ...backlog, name: "a page and one record", records: 5, calls: 2 },
    { ...backlog, name: "three pages, all records", calls: 3 },
    { ...backlog, name: "three pages, then the newest record of each key", catchUp: "newest", calls: 2 },
    { ...backlog, name: "a hundred pages, the newest record of each key", catchUp: "newest", records: 400, calls: 2 },
    { ...backlog, name: "records as large as a page", pageRecords: 1, records: 3, calls: 3 },
    { ...backlog, name: "a topic that grows by half a page at each read", growth: 2, calls: 5 },
    {
        ...backlog,
        name: "a topic that grows as fast as it is read, the newest record of each key",
        catchUp: "newest",
        growth: 4,
        calls: 2,
    },
    { ...backlog, name: "a store that fails in the middle", failures: { 2: "lost" }, calls: 4 },
    { ...backlog, name: "records that are not kept any more in the middle", failures: { 2: "expired" }, calls: 3 },
];

// Guards against a configuration from the middle of a backlog being confirmed as the newest: a withdrawn key works.
cases.forEach(({ name, calls, ...parts }) => {
    test(`backlog: only a read that reached the end counts as current: ${name}`, async t => {
        t.deepEqual(await play(parts), { wrong: 0, calls, hasMirrorSkipped: false });
    });
});

test("backlog: none counts as current too early, and all end, whatever grows and fails", async t => {
    const outcomes = await Promise.all(
        Array.from({ length: 60 }, (_, i) => {
            const random = seededRandom(i + 1);
            const below = (limit: number): number => Math.floor(random() * limit);
            return play({
                catchUp: random() < 0.5 ? "all" : "newest",
                records: below(60),
                pageRecords: 1 + below(9),
                growth: below(4),
                failures: { [1 + below(4)]: "lost", [2 + below(6)]: random() < 0.5 ? "lost" : "expired" },
            });
        }),
    );
    t.deepEqual(outcomes.filter(({ wrong, hasMirrorSkipped }) => wrong > 0 || hasMirrorSkipped), []);
});
