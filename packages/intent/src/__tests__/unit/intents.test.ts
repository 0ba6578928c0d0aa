import { Incarnation, OrganisationId, RecordId, VmId } from "@azureshunt/core";
import test from "ava";
import fc from "fast-check";

import { beginIntent } from "../../beginIntent.js";
import { digestKey } from "../../digestKey.js";
import { emptyPartition } from "../../emptyPartition.js";
import { foldIntents } from "../../foldIntents.js";
import { INTENT_LIMITS } from "../../INTENT_LIMITS.js";
import type { IntentOutcome } from "../../IntentOutcome.js";
import type { IntentPartition } from "../../IntentPartition.js";
import type { IntentRecord } from "../../IntentRecord.js";
import { loadPartition } from "../../loadPartition.js";
import type { LoggedIntent } from "../../LoggedIntent.js";
import type { OwnerReply } from "../../OwnerReply.js";
import type { OwnIntent } from "../../OwnIntent.js";
import { partitionOf } from "../../partitionOf.js";
import { reopenIntent } from "../../reopenIntent.js";
import { snapshotRecords } from "../../snapshotRecords.js";
import { standingOf } from "../../standingOf.js";
import { verdictOfTaken } from "../../verdictOfTaken.js";
import { withdrawIntent } from "../../withdrawIntent.js";

const SEED = 20_261_202;
const WINDOW = 100;
const ORGANISATION = OrganisationId.parse("alb");
const KEY = digestKey(ORGANISATION, "booking-1");
const RUN = Incarnation.parse("run-1");
const ANSWERED: IntentOutcome = { kind: "answered", answer: { status: 200, body: "" } };

const id = (text: string): RecordId => RecordId.parse(text);
const intent = (vm: string, fingerprint = "card hold", incarnation = RUN): IntentRecord => ({
    type: "intent",
    organisation: ORGANISATION,
    key: KEY,
    fingerprint,
    vm: VmId.parse(vm),
    incarnation,
});
const withdrawn = (intentId: string): IntentRecord => ({ type: "withdrawn", intentId: id(intentId), key: KEY });
const outcome = (intentId: string, ended = ANSWERED): IntentRecord => ({
    type: "outcome",
    intentId: id(intentId),
    key: KEY,
    outcome: ended,
});
const logOf = (records: readonly (readonly [string, IntentRecord, number?])[], start = 0): LoggedIntent[] =>
    records.map(([name, record, at = 0], index) => ({ offset: start + index, id: id(name), at, record }));

const standing = (partition: IntentPartition, intentId?: string, fingerprint = "card hold"): string =>
    standingOf(
        partition,
        { key: KEY, fingerprint, intentId: intentId === undefined ? undefined : id(intentId) },
        WINDOW,
    ).kind;

// A call that may not be repeated is sent to two daemons at once, and both run it.
[
    { name: "no intent", log: logOf([]), asks: undefined, is: "free" },
    { name: "the first intent owns", log: logOf([["a", intent("vm1")], ["b", intent("vm2")]]), asks: "a", is: "owner" },
    {
        name: "the second does not",
        log: logOf([["a", intent("vm1")], ["b", intent("vm2")]]),
        asks: "b",
        is: "taken",
    },
    {
        name: "a withdrawal frees the key for later intents only",
        log: logOf([["a", intent("vm1")], ["b", intent("vm2")], ["w", withdrawn("a")]]),
        asks: "b",
        is: "free",
    },
    {
        name: "the first intent after a withdrawal owns",
        log: logOf([["a", intent("vm1")], ["w", withdrawn("a")], ["c", intent("vm2")]]),
        asks: "c",
        is: "owner",
    },
    {
        name: "a withdrawal of an intent that lost changes nothing",
        log: logOf([["a", intent("vm1")], ["b", intent("vm2")], ["w", withdrawn("b")]]),
        asks: "b",
        is: "taken",
    },
    {
        name: "an outcome ends the request",
        log: logOf([["a", intent("vm1")], ["o", outcome("a")]]),
        asks: undefined,
        is: "ended",
    },
    {
        name: "a withdrawal after an outcome changes nothing",
        log: logOf([["a", intent("vm1")], ["o", outcome("a")], ["w", withdrawn("a")]]),
        asks: undefined,
        is: "ended",
    },
    {
        name: "an outcome of an intent that lost is no outcome",
        log: logOf([["a", intent("vm1")], ["b", intent("vm2")], ["o", outcome("b")]]),
        asks: undefined,
        is: "taken",
    },
    {
        name: "the key of another request",
        log: logOf([["a", intent("vm1", "another hold")]]),
        asks: undefined,
        is: "reused",
    },
    {
        name: "the window is over, by the log's clock",
        log: logOf([["a", intent("vm1")], ["c", intent("vm2"), WINDOW + 1]]),
        asks: "c",
        is: "owner",
    },
    {
        name: "the window is not over",
        log: logOf([["a", intent("vm1")], ["c", intent("vm2"), WINDOW]]),
        asks: "c",
        is: "taken",
    },
    {
        name: "older records are gone, and nothing vouches for them",
        log: logOf([["c", intent("vm2"), WINDOW]], 5),
        asks: "c",
        is: "window-lost",
    },
    {
        name: "older records are gone, and lie before the window",
        log: logOf([["x", withdrawn("none"), 1], ["c", intent("vm2"), WINDOW + 1]], 5),
        asks: "c",
        is: "owner",
    },
].forEach(({ name, log, asks, is }) =>
    test(`intent: ${name}`, t => {
        t.is(standing(loadPartition(log[0]?.offset ?? 0, log, WINDOW), asks), is);
    })
);

// A call is repeated after the log has dropped the record of it, and runs again.
test("intent: a snapshot carries an outcome past the log's retention", t => {
    const known = loadPartition(0, logOf([["a", intent("vm1"), 1], ["o", outcome("a"), 2]]), WINDOW);
    const parts = snapshotRecords(known, id("s1")).map((record, index) => ["s1-" + index, record, 3] as const);
    const kept = logOf([...parts, ["c", intent("vm2"), 50]], 2);
    t.is(standing(loadPartition(2, kept, WINDOW)), "ended");
    t.is(
        standing(loadPartition(2, kept.slice(1), WINDOW)),
        "taken",
        "without the snapshot the later intent seems to own",
    );
    t.is(standing(loadPartition(2, kept.slice(1), WINDOW), "c"), "window-lost", "but it may not run");
});

test("intent: a snapshot that records were lost after, or with a part missing, is not used", t => {
    const many = Array.from({ length: INTENT_LIMITS.snapshotEntries + 1 }, (_, index) => {
        const key = digestKey(ORGANISATION, String(index));
        return [`i${index}`, { ...intent("vm1"), key } as IntentRecord, 1] as const;
    });
    const parts = snapshotRecords(loadPartition(0, logOf(many), WINDOW), id("s1"));
    t.is(parts.length, 2);
    const logged = logOf(parts.map((record, index) => ["s1-" + index, record, 3] as const), many.length);
    t.is(loadPartition(many.length, logged, WINDOW).entries.size, many.length);
    t.is(loadPartition(many.length, logged.slice(0, 1), WINDOW).entries.size, 0);
    t.is(loadPartition(many.length + 1, logged, WINDOW).entries.size, 0);
});

test("intent: keys are spread over the partitions, and organisations' keys differ", t => {
    const used = new Set(
        Array.from({ length: 400 }, (_, index) => partitionOf(digestKey(ORGANISATION, String(index)))),
    );
    t.is(used.size, INTENT_LIMITS.partitions);
    t.not(digestKey(OrganisationId.parse("other"), "booking-1"), KEY);
});

const OWN: OwnIntent = { intentId: id("a"), key: KEY, fingerprint: "f", since: 0, phase: "open", outcome: undefined };

[
    { name: "an open intent begins", own: OWN, now: 1, may: true },
    { name: "after a long pause it does not", own: OWN, now: INTENT_LIMITS.beginMs, may: false },
    { name: "once withdrawn it does not", own: withdrawIntent(OWN) ?? OWN, now: 1, may: false },
    { name: "it does not begin twice", own: beginIntent(OWN, 1) ?? OWN, now: 1, may: false },
].forEach(({ name, own, now, may }) =>
    test(`intent: ${name}`, t => {
        t.is(beginIntent(own, now) !== undefined, may);
    })
);

test("intent: a try that surely did not run takes the begin back", t => {
    const reopened = reopenIntent(beginIntent(OWN, 1) ?? OWN) ?? OWN;
    t.is(reopened.phase, "open");
    t.is(beginIntent(reopened, INTENT_LIMITS.beginMs), undefined, "the bound still counts from the append");
    t.is(reopenIntent({ ...OWN, phase: "withdrawn" }), undefined);
});

test("intent: what has begun is not withdrawn", t => {
    t.is(withdrawIntent(beginIntent(OWN, 1) ?? OWN), undefined);
});

const ENTRY = [...loadPartition(0, logOf([["a", intent("vm1")]]), WINDOW).entries.values()][0]!;
const reply = (phase: OwnerReply["phase"], ended?: IntentOutcome, run = RUN): OwnerReply => ({
    incarnation: run,
    phase,
    outcome: ended,
});

[
    { name: "it runs", reply: reply("running"), listed: true, lastAt: 0, is: "running" },
    { name: "it was withdrawn", reply: reply("withdrawn"), listed: true, lastAt: 0, is: "retry" },
    { name: "it ended", reply: reply("ended", ANSWERED), listed: true, lastAt: 0, is: "answered" },
    { name: "it ended without an answer", reply: reply("ended"), listed: true, lastAt: 0, is: "unknown" },
    {
        name: "the owner has been restarted",
        reply: reply("absent", undefined, Incarnation.parse("run-2")),
        listed: true,
        lastAt: 0,
        is: "unknown",
    },
    {
        name: "a restarted owner is not believed",
        reply: reply("withdrawn", undefined, Incarnation.parse("run-2")),
        listed: true,
        lastAt: 0,
        is: "unknown",
    },
    { name: "the owner can't be reached", reply: undefined, listed: true, lastAt: 0, is: "running" },
    { name: "the owner's VM is not listed yet", reply: undefined, listed: false, lastAt: 0, is: "running" },
    {
        name: "the owner's VM is gone",
        reply: undefined,
        listed: false,
        lastAt: INTENT_LIMITS.unlistedMs + 1,
        is: "unknown",
    },
    {
        name: "the owner can't be reached for long",
        reply: undefined,
        listed: true,
        lastAt: INTENT_LIMITS.runningMs + 1,
        is: "unknown",
    },
].forEach(({ name, reply: said, listed, lastAt, is }) =>
    test(`intent: another's, ${name}`, t => {
        const verdict = verdictOfTaken(ENTRY, said, listed, lastAt);
        const found: string = verdict.kind === "ended" ? verdict.outcome.kind : verdict.kind;
        t.is(found, is);
    })
);

type Daemon = { own: OwnIntent | undefined; readBack: boolean; partition: IntentPartition; };

const operation = fc.record({
    daemon: fc.integer({ min: 0, max: 2 }),
    act: fc.constantFrom("append", "read", "begin", "withdraw", "record-withdrawal", "restart", "expire", "snapshot"),
});

test("intent: whatever three daemons do, with restarts, pauses and dropped records, a key runs at most once", t => {
    const runs = (operations: readonly { daemon: number; act: string; }[]): number => {
        const fresh = (): Daemon => ({ own: undefined, readBack: false, partition: emptyPartition(0) });
        const daemons: Daemon[] = [fresh(), fresh(), fresh()];
        let log: LoggedIntent[] = [];
        let [start, end, dispatched] = [0, 0, 0];
        const write = (name: string, record: IntentRecord): void => {
            log = [...log, { offset: end, id: id(name), at: end, record }];
            end += 1;
        };
        operations.forEach(({ daemon, act }, index) => {
            const it = daemons[daemon]!;
            const { own } = it;
            if (act === "append" && own === undefined) {
                it.own = { ...OWN, intentId: id(`i${index}`) };
                write(`i${index}`, intent(`vm${daemon}`, "card hold", Incarnation.parse(`run-${index}`)));
            }
            if (act === "read") {
                it.partition = it.partition.next < start
                    ? loadPartition(start, log, WINDOW)
                    : foldIntents(it.partition, log, WINDOW);
                it.readBack = own !== undefined;
            }
            if (
                act === "begin" && own !== undefined && it.readBack && standing(it.partition, own.intentId) === "owner"
            ) {
                const begun = beginIntent(own, 0);
                dispatched += begun === undefined ? 0 : 1;
                it.own = begun ?? own;
            }
            if (act === "withdraw" && own !== undefined) {
                it.own = withdrawIntent(own) ?? own;
            }
            if (act === "record-withdrawal" && own?.phase === "withdrawn") {
                write(`w${index}`, withdrawn(own.intentId));
                it.own = undefined;
                it.readBack = false;
            }
            if (act === "restart") {
                daemons[daemon] = { ...fresh(), partition: loadPartition(start, log, WINDOW) };
            }
            if (act === "expire" && log.length > 0) {
                log = log.slice(1);
                start += 1;
            }
            if (act === "snapshot" && it.partition.next >= start) {
                snapshotRecords(it.partition, id(`s${index}`)).forEach(record => write(`s${index}`, record));
            }
        });
        return dispatched;
    };
    fc.assert(
        fc.property(
            fc.array(operation, { minLength: 20, maxLength: 60, size: "max" }),
            operations => runs(operations) <= 1,
        ),
        { seed: SEED, numRuns: 10_000 },
    );
    t.pass();
});
