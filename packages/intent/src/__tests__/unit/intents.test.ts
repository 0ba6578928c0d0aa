import { Incarnation, OrganisationId, RecordId, VmId } from "@azureshunt/core";
import test from "ava";
import fc from "fast-check";

import { beginIntent } from "../../beginIntent.js";
import { decideTakenKey } from "../../decideTakenKey.js";
import { digestKey } from "../../digestKey.js";
import { emptyPartition } from "../../emptyPartition.js";
import { foldIntents } from "../../foldIntents.js";
import { INTENT_LIMITS } from "../../INTENT_LIMITS.js";
import type { IntentOutcome } from "../../IntentOutcome.js";
import type { IntentPartition } from "../../IntentPartition.js";
import type { IntentRecord } from "../../IntentRecord.js";
import { keyStatusOf } from "../../keyStatusOf.js";
import { loadPartition } from "../../loadPartition.js";
import type { LoggedIntent } from "../../LoggedIntent.js";
import type { OwnerReply } from "../../OwnerReply.js";
import type { OwnIntent } from "../../OwnIntent.js";
import { partitionOf } from "../../partitionOf.js";
import { reopenIntent } from "../../reopenIntent.js";
import { snapshotRecords } from "../../snapshotRecords.js";
import { withdrawIntent } from "../../withdrawIntent.js";

const SEED = 20_261_202;
const WINDOW = 100;
const ORGANISATION = OrganisationId.parse("alb");
const KEY = digestKey(ORGANISATION, "booking-1");
const INCARNATION = Incarnation.parse("run-1");
const ANSWERED: IntentOutcome = { kind: "answered", answer: { status: 200, body: "" } };

const id = (text: string): RecordId => RecordId.parse(text);
const intent = (vm: string, fingerprint = "card hold", incarnation = INCARNATION): IntentRecord => ({
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

const statusOf = (partition: IntentPartition, intentId?: string, fingerprint = "card hold"): string =>
    keyStatusOf(
        partition,
        { key: KEY, fingerprint, intentId: intentId === undefined ? undefined : id(intentId) },
        WINDOW,
    ).kind;

// Guards against two daemons that receive the same non-repeatable request at once and both run it.
[
    { name: "no intent", log: logOf([]), intentId: undefined, expected: "free" },
    {
        name: "the first intent owns the key",
        log: logOf([["a", intent("vm1")], ["b", intent("vm2")]]),
        intentId: "a",
        expected: "owner",
    },
    {
        name: "the second intent does not own the key",
        log: logOf([["a", intent("vm1")], ["b", intent("vm2")]]),
        intentId: "b",
        expected: "taken",
    },
    {
        name: "a withdrawal frees the key only for later intents",
        log: logOf([["a", intent("vm1")], ["b", intent("vm2")], ["w", withdrawn("a")]]),
        intentId: "b",
        expected: "free",
    },
    {
        name: "the first intent after a withdrawal owns the key",
        log: logOf([["a", intent("vm1")], ["w", withdrawn("a")], ["c", intent("vm2")]]),
        intentId: "c",
        expected: "owner",
    },
    {
        name: "a withdrawal of an intent that does not own the key changes nothing",
        log: logOf([["a", intent("vm1")], ["b", intent("vm2")], ["w", withdrawn("b")]]),
        intentId: "b",
        expected: "taken",
    },
    {
        name: "an outcome ends the request",
        log: logOf([["a", intent("vm1")], ["o", outcome("a")]]),
        intentId: undefined,
        expected: "ended",
    },
    {
        name: "a withdrawal after an outcome changes nothing",
        log: logOf([["a", intent("vm1")], ["o", outcome("a")], ["w", withdrawn("a")]]),
        intentId: undefined,
        expected: "ended",
    },
    {
        name: "an outcome of an intent that does not own the key is ignored",
        log: logOf([["a", intent("vm1")], ["b", intent("vm2")], ["o", outcome("b")]]),
        intentId: undefined,
        expected: "taken",
    },
    {
        name: "the key belongs to a different request",
        log: logOf([["a", intent("vm1", "another hold")]]),
        intentId: undefined,
        expected: "reused",
    },
    {
        name: "the window is over, by the log's timestamps",
        log: logOf([["a", intent("vm1")], ["c", intent("vm2"), WINDOW + 1]]),
        intentId: "c",
        expected: "owner",
    },
    {
        name: "the window is not over",
        log: logOf([["a", intent("vm1")], ["c", intent("vm2"), WINDOW]]),
        intentId: "c",
        expected: "taken",
    },
    {
        name: "older records are dropped, and some may lie within the window",
        log: logOf([["c", intent("vm2"), WINDOW]], 5),
        intentId: "c",
        expected: "window-lost",
    },
    {
        name: "older records are dropped, but lie before the window",
        log: logOf([["x", withdrawn("none"), 1], ["c", intent("vm2"), WINDOW + 1]], 5),
        intentId: "c",
        expected: "owner",
    },
].forEach(({ name, log, intentId, expected }) =>
    test(`intent: ${name}`, t => {
        t.is(statusOf(loadPartition(log[0]?.offset ?? 0, log, WINDOW), intentId), expected);
    })
);

// If the log has dropped the record of a request, the same request sent again would run a second time.
test("intent: a snapshot preserves an outcome beyond the log's retention", t => {
    const known = loadPartition(0, logOf([["a", intent("vm1"), 1], ["o", outcome("a"), 2]]), WINDOW);
    const parts = snapshotRecords(known, id("s1")).map((record, index) => ["s1-" + index, record, 3] as const);
    const retained = logOf([...parts, ["c", intent("vm2"), 50]], 2);
    t.is(statusOf(loadPartition(2, retained, WINDOW)), "ended");
    t.is(
        statusOf(loadPartition(2, retained.slice(1), WINDOW)),
        "taken",
        "without the snapshot, the later intent seems to own the key",
    );
    t.is(statusOf(loadPartition(2, retained.slice(1), WINDOW), "c"), "window-lost", "but its request may not run");
});

test("intent: a snapshot is not used if a part of it, or a record after it, is missing", t => {
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

test("intent: keys are distributed over all partitions, and equal keys of two organisations differ", t => {
    const used = new Set(
        Array.from({ length: 400 }, (_, index) => partitionOf(digestKey(ORGANISATION, String(index)))),
    );
    t.is(used.size, INTENT_LIMITS.partitions);
    t.not(digestKey(OrganisationId.parse("other"), "booking-1"), KEY);
});

const OWN: OwnIntent = { intentId: id("a"), key: KEY, fingerprint: "f", since: 0, phase: "open", outcome: undefined };

[
    { name: "an open intent begins", own: OWN, now: 1, may: true },
    {
        name: "an open intent does not begin after a long suspension",
        own: OWN,
        now: INTENT_LIMITS.maxBeginDelayMs,
        may: false,
    },
    { name: "a withdrawn intent does not begin", own: withdrawIntent(OWN) ?? OWN, now: 1, may: false },
    { name: "an intent does not begin twice", own: beginIntent(OWN, 1) ?? OWN, now: 1, may: false },
].forEach(({ name, own, now, may }) =>
    test(`intent: ${name}`, t => {
        t.is(beginIntent(own, now) !== undefined, may);
    })
);

test("intent: a try that certainly did not run reopens the intent", t => {
    const reopened = reopenIntent(beginIntent(OWN, 1) ?? OWN) ?? OWN;
    t.is(reopened.phase, "open");
    t.is(
        beginIntent(reopened, INTENT_LIMITS.maxBeginDelayMs),
        undefined,
        "the time limit is still measured from the append",
    );
    t.is(reopenIntent({ ...OWN, phase: "withdrawn" }), undefined);
});

test("intent: an intent that has begun cannot be withdrawn", t => {
    t.is(withdrawIntent(beginIntent(OWN, 1) ?? OWN), undefined);
});

const ENTRY = [...loadPartition(0, logOf([["a", intent("vm1")]]), WINDOW).entries.values()][0]!;
const reply = (phase: OwnerReply["phase"], ended?: IntentOutcome, owner = INCARNATION): OwnerReply => ({
    incarnation: owner,
    phase,
    outcome: ended,
});

[
    { name: "it is running", reply: reply("running"), listed: true, lastAt: 0, expected: "running" },
    { name: "it was withdrawn", reply: reply("withdrawn"), listed: true, lastAt: 0, expected: "retry" },
    { name: "it ended", reply: reply("ended", ANSWERED), listed: true, lastAt: 0, expected: "answered" },
    { name: "it ended without an answer", reply: reply("ended"), listed: true, lastAt: 0, expected: "unknown" },
    {
        name: "the owner has been restarted",
        reply: reply("absent", undefined, Incarnation.parse("run-2")),
        listed: true,
        lastAt: 0,
        expected: "unknown",
    },
    {
        name: "a reply of a restarted owner is not trusted",
        reply: reply("withdrawn", undefined, Incarnation.parse("run-2")),
        listed: true,
        lastAt: 0,
        expected: "unknown",
    },
    { name: "the owner cannot be reached", reply: undefined, listed: true, lastAt: 0, expected: "running" },
    { name: "the owner's VM is not listed yet", reply: undefined, listed: false, lastAt: 0, expected: "running" },
    {
        name: "the owner's VM is gone",
        reply: undefined,
        listed: false,
        lastAt: INTENT_LIMITS.unlistedOwnerMs + 1,
        expected: "unknown",
    },
    {
        name: "the owner has been unreachable for long",
        reply: undefined,
        listed: true,
        lastAt: INTENT_LIMITS.maxRunningMs + 1,
        expected: "unknown",
    },
].forEach(({ name, reply: received, listed, lastAt, expected }) =>
    test(`intent: key owned by another intent, ${name}`, t => {
        const decision = decideTakenKey(ENTRY, received, listed, lastAt);
        const found: string = decision.kind === "ended" ? decision.outcome.kind : decision.kind;
        t.is(found, expected);
    })
);

type Daemon = { own: OwnIntent | undefined; isReadBack: boolean; partition: IntentPartition; };

const operation = fc.record({
    daemon: fc.integer({ min: 0, max: 2 }),
    act: fc.constantFrom("append", "read", "begin", "withdraw", "record-withdrawal", "restart", "expire", "snapshot"),
});

test("intent: despite restarts, suspensions and dropped records, three daemons run a request at most once", t => {
    const countRuns = (operations: readonly { daemon: number; act: string; }[]): number => {
        const newDaemon = (): Daemon => ({ own: undefined, isReadBack: false, partition: emptyPartition(0) });
        const daemons: Daemon[] = [newDaemon(), newDaemon(), newDaemon()];
        let log: LoggedIntent[] = [];
        let [start, end, dispatched] = [0, 0, 0];
        const write = (name: string, record: IntentRecord): void => {
            log = [...log, { offset: end, id: id(name), at: end, record }];
            end += 1;
        };
        operations.forEach(({ daemon, act }, index) => {
            const state = daemons[daemon]!;
            const { own } = state;
            if (act === "append" && own === undefined) {
                state.own = { ...OWN, intentId: id(`i${index}`) };
                write(`i${index}`, intent(`vm${daemon}`, "card hold", Incarnation.parse(`run-${index}`)));
            }
            if (act === "read") {
                state.partition = state.partition.next < start
                    ? loadPartition(start, log, WINDOW)
                    : foldIntents(state.partition, log, WINDOW);
                state.isReadBack = own !== undefined;
            }
            if (
                act === "begin" && own !== undefined && state.isReadBack &&
                statusOf(state.partition, own.intentId) === "owner"
            ) {
                const begun = beginIntent(own, 0);
                dispatched += begun === undefined ? 0 : 1;
                state.own = begun ?? own;
            }
            if (act === "withdraw" && own !== undefined) {
                state.own = withdrawIntent(own) ?? own;
            }
            if (act === "record-withdrawal" && own?.phase === "withdrawn") {
                write(`w${index}`, withdrawn(own.intentId));
                state.own = undefined;
                state.isReadBack = false;
            }
            if (act === "restart") {
                daemons[daemon] = { ...newDaemon(), partition: loadPartition(start, log, WINDOW) };
            }
            if (act === "expire" && log.length > 0) {
                log = log.slice(1);
                start += 1;
            }
            if (act === "snapshot" && state.partition.next >= start) {
                snapshotRecords(state.partition, id(`s${index}`)).forEach(record => write(`s${index}`, record));
            }
        });
        return dispatched;
    };
    fc.assert(
        fc.property(
            fc.array(operation, { minLength: 20, maxLength: 60, size: "max" }),
            operations => countRuns(operations) <= 1,
        ),
        { seed: SEED, numRuns: 10_000 },
    );
    t.pass();
});
