import type { RecordId } from "@azureshunt/core";
import {
    type ConfigurationRecord,
    type ConfigurationState,
    foldRecord,
    initialState,
    ReleaseNote,
    releaseRecord,
    snapshotRecord,
} from "@azureshunt/release";
import test from "ava";

import { gossipOf } from "../../configuration/gossipOf.js";
import { initialReader } from "../../configuration/initialReader.js";
import { isSnapshotDue } from "../../configuration/isSnapshotDue.js";
import type { ReaderEvent } from "../../configuration/ReaderEvent.js";
import type { ReaderState } from "../../configuration/ReaderState.js";
import { stepReader } from "../../configuration/stepReader.js";

const model = (name: string): object =>
    releaseRecord(ReleaseNote.parse({
        note: name,
        added: { models: [{ name, version: "v1" }] },
    }));
const record = (offset: number, data: unknown): ConfigurationRecord => ({
    offset,
    id: `r${offset}` as RecordId,
    at: 0,
    data,
});
const foldAll = (records: readonly ConfigurationRecord[]): ConfigurationState =>
    records.reduce((state, each) => foldRecord(state, each).state, initialState);

const NOTES = ["a", "b", "c", "d"].map((name, offset) => record(offset, model(name)));
const AFTER_TWO = foldAll(NOTES.slice(0, 2));
const AFTER_FOUR = foldAll(NOTES);
const page = (from: number, start: number, records: readonly ConfigurationRecord[], end: number): ReaderEvent => ({
    kind: "page",
    from,
    start,
    end,
    records,
    pausedMs: 0,
});

/** Applies events, one per millisecond, and collects the published revisions and the offsets of the reads. */
const drive = (events: readonly ReaderEvent[], from: ReaderState = initialReader) =>
    events.reduce<
        { readonly state: ReaderState; readonly published: readonly number[]; readonly reads: readonly number[]; }
    >(
        (at, event, now) => {
            const { state, effects } = stepReader(at.state, event, now);
            const published = effects.flatMap(each => each.kind === "publish" ? [each.configuration.revision] : []);
            const reads = effects.flatMap(each => each.kind === "read" ? [each.from] : []);
            return { state, published: [...at.published, ...published], reads: [...at.reads, ...reads] };
        },
        { state: from, published: [], reads: [] },
    );

test("a restarted daemon does not publish an outdated peer's state before the log has answered", t => {
    // If a restarted daemon published the state of a peer that was cut off, a withdrawn key would become valid again.
    const { published } = drive([{ kind: "pulled", fold: AFTER_TWO }, page(0, 0, NOTES, 4), { kind: "started" }]);
    t.deepEqual(published, [4]);
});

test("while the log is unreachable, a restarted daemon publishes the newest of its peers' states", t => {
    const { published, state } = drive([
        { kind: "failed" },
        { kind: "pulled", fold: AFTER_FOUR },
        { kind: "pulled", fold: AFTER_TWO },
        { kind: "started" },
    ]);
    t.deepEqual(published, [4]);
    t.is(state.confirmedAt, undefined);
});

test("after records expired, a reader finds the snapshot and continues at the offset that it represents", t => {
    // A daemon that starts after the log dropped the first notes must not fold the remaining ones onto an empty state.
    const snapshot = record(5, JSON.parse(JSON.stringify(snapshotRecord(AFTER_FOUR))));
    const later = record(4, model("e"));
    const { reads, state } = drive([
        { kind: "expired", start: 2 },
        page(2, 2, [...NOTES.slice(2), later, snapshot], 6),
        page(4, 2, [later, snapshot], 6),
    ]);
    t.deepEqual(reads, [2, 4, 6]);
    t.is(state.fold.configuration.revision, 5);
});

test("without a snapshot a reader continues searching, confirms nothing and requests one from its peers", t => {
    const { reads, state, published } = drive([{ kind: "expired", start: 2 }, page(2, 2, NOTES.slice(2), 4)]);
    t.deepEqual(reads, [2, 4]);
    t.deepEqual(published, []);
    t.is(state.confirmedAt, undefined);
    t.true(gossipOf(state, 9).wantsSnapshot);
});

test("an older state of a peer changes nothing, and a newer one advances the reads", t => {
    const caughtUp = drive([page(0, 0, NOTES, 4)]);
    t.is(drive([{ kind: "pulled", fold: AFTER_TWO }], caughtUp.state).state.fold, caughtUp.state.fold);
    const outdated = drive([page(0, 0, NOTES.slice(0, 2), 2), { kind: "pulled", fold: AFTER_FOUR }, page(2, 0, [], 4)]);
    t.deepEqual(outdated.published, [2, 4]);
    t.is(outdated.reads.at(-1), 4);
});

test("a daemon requests snapshots from its peers only while the log does not answer", t => {
    const { state } = drive([page(0, 0, NOTES, 4)]);
    const wants = (each: ReaderState, now: number): boolean => gossipOf(each, now).wantsSnapshot === true;
    t.false(wants(state, 1_500));
    t.true(wants(state, 2_500));
    t.true(wants({ ...state, failures: 1 }, 1_500));
    t.true(wants(initialReader, 0));
});

test("daemons that are cut off together do not confirm each other's revision", t => {
    // If two daemons without the log confirmed each other's revision, the limit on staleness would never take effect.
    const [one, two] = [drive([page(0, 0, NOTES, 4)]).state, drive([page(0, 0, NOTES, 4)]).state];
    const receive = (own: ReaderState, other: ReaderState, now: number): ReaderState => {
        const message = gossipOf(other, now);
        const at = now - message.confirmedWithinMs;
        return stepReader(own, { kind: "confirmed", revision: message.revision, digest: message.digest, at }, now)
            .state;
    };
    const [first, second] = [1_000, 2_000, 3_000].reduce<readonly [ReaderState, ReaderState]>(
        ([a, b], now) => [receive(a, b, now), receive(b, a, now)],
        [one, two],
    );
    t.deepEqual([first.confirmedAt, second.confirmedAt], [0, 0]);
});

test("a confirmation counts only for the same revision and digest", t => {
    const state = { ...drive([page(0, 0, NOTES, 4)]).state, confirmedAt: 1 };
    const { revision } = state.fold.configuration;
    const at = (given: { revision: number; digest: string; }): number | undefined =>
        stepReader(state, { kind: "confirmed", at: 50, ...given }, 60).state.confirmedAt;
    t.is(at({ revision, digest: state.fold.digest }), 50);
    t.is(at({ revision, digest: "f".repeat(64) }), 1);
    t.is(at({ revision: revision - 1, digest: AFTER_TWO.digest }), 1);
});

const CAUGHT_UP: ReaderState = { ...drive([page(0, 0, NOTES, 4)]).state, snapshotOffset: 3, snapshotAt: 100 };
const advancedTo = (offset: number): ReaderState => ({
    ...CAUGHT_UP,
    cursor: offset,
    fold: { ...CAUGHT_UP.fold, offset },
});
const DUE = [
    { title: "not due while the newest one is recent", state: CAUGHT_UP, now: 500, due: false },
    { title: "due when the newest one is old", state: CAUGHT_UP, now: 1_100, due: true },
    {
        title: "not due soon after the start if the newest one's age is unknown",
        state: { ...CAUGHT_UP, snapshotAt: undefined },
        now: 900,
        due: false,
    },
    {
        title: "due long after the start if the newest one's age is unknown",
        state: { ...CAUGHT_UP, snapshotAt: undefined },
        now: 1_000,
        due: true,
    },
    { title: "due after many records", state: advancedTo(200), now: 500, due: true },
    {
        title: "due if the newest one is in the older half of the log",
        state: { ...advancedTo(20), logStart: 2 },
        now: 500,
        due: true,
    },
    {
        title: "not due if the state was never confirmed",
        state: { ...advancedTo(200), confirmedAt: undefined },
        now: 5_000,
        due: false,
    },
    { title: "not due before the first release", state: { ...initialReader, confirmedAt: 1 }, now: 5_000, due: false },
];

DUE.forEach(({ title, state, now, due }) =>
    test(`a new snapshot: ${title}`, t => {
        t.is(isSnapshotDue(state, now, 0, 1_000), due);
    })
);
