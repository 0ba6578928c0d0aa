import test from "ava";

import type { ConfigurationRecord } from "../../ConfigurationRecord.js";
import type { ConfigurationState } from "../../ConfigurationState.js";
import { foldRecord } from "../../foldRecord.js";
import { initialState } from "../../initialState.js";
import { releaseRecord } from "../../releaseRecord.js";
import { snapshotRecord } from "../../snapshotRecord.js";
import { noteOf } from "../support/noteOf.js";
import { recordOf } from "../support/recordOf.js";
import { sampleNote } from "../support/sampleNote.js";

const foldAll = (state: ConfigurationState, records: readonly ConfigurationRecord[]): ConfigurationState =>
    records.reduce((at, record) => foldRecord(at, record).state, state);

const FIRST = recordOf(0, "r0", releaseRecord(sampleNote));
const AFTER_FIRST = foldRecord(initialState, FIRST).state;
const version = (name: string, base?: number) =>
    releaseRecord(noteOf({ base, changed: { models: [{ name: "guide", version: name }] } }));

const MALFORMED: readonly unknown[] = [
    undefined,
    null,
    7,
    "text",
    [],
    {},
    { kind: "release" },
    { kind: "release", note: null },
    { kind: "release", note: { note: 5, added: "x" } },
    { kind: "release", note: { note: "n", added: { models: [{ name: "__proto__", version: "v" }] } } },
    { kind: "snapshot" },
    { kind: "snapshot", offset: 99, revision: 9 },
    { kind: "later-version", note: sampleNote },
];

test("malformed and unknown records never throw and change only the offset", t => {
    MALFORMED.forEach(data => {
        const { state } = foldRecord(AFTER_FIRST, recordOf(1, "bad", data));
        t.is(state.configuration, AFTER_FIRST.configuration);
        t.is(state.digest, AFTER_FIRST.digest);
        t.is(state.offset, 2);
    });
});

test("two operators at the same revision: the second gets a conflict that lists the changes", t => {
    // Without the conflict, the second note would overwrite the changes of the first.
    const second = foldRecord(AFTER_FIRST, recordOf(1, "a", version("v2", 1)));
    const third = foldRecord(second.state, recordOf(2, "b", version("v3", 1)));
    t.deepEqual(second.outcome, { kind: "accepted", revision: 2 });
    t.deepEqual(third.outcome, { kind: "conflict", base: 1, revision: 2, changed: ["changed model guide"] });
    t.is(third.state.configuration, second.state.configuration);
});

test("a record that was appended twice counts once", t => {
    // Folding the second copy would undo what another operator changed in between.
    const records = [recordOf(1, "a", version("v2")), recordOf(2, "b", version("v1")), recordOf(3, "a", version("v2"))];
    const state = foldAll(AFTER_FIRST, records);
    t.is([...state.configuration.models.values()][0]?.version, "v1" as never);
    t.is(state.configuration.revision, 3);
    const again = foldRecord(foldAll(AFTER_FIRST, records.slice(0, 2)), records[2] as ConfigurationRecord);
    t.deepEqual(again.outcome, { kind: "repeated", first: { kind: "accepted", revision: 2 } });
});

test("an invalid note changes nothing and lists its faults", t => {
    const { state, outcome } = foldRecord(AFTER_FIRST, recordOf(1, "a", releaseRecord(sampleNote)));
    t.is(state.configuration, AFTER_FIRST.configuration);
    t.is(outcome.kind, "invalid");
    t.is(outcome.kind === "invalid" ? outcome.faults.length : 0, 8);
});

test("a record after a gap is not folded", t => {
    // If reading continued after dropped records, a withdrawal among them would never be applied.
    const { state, outcome } = foldRecord(AFTER_FIRST, recordOf(5, "a", version("v2")));
    t.is(state, AFTER_FIRST);
    t.deepEqual(outcome, { kind: "gap" });
});

test("a snapshot takes a reader across a gap, and reading continues at its offset", t => {
    const ahead = foldAll(AFTER_FIRST, [recordOf(1, "a", version("v2")), recordOf(2, "b", version("v3"))]);
    const data = JSON.parse(JSON.stringify(snapshotRecord(ahead))) as unknown;
    const { state, outcome } = foldRecord(initialState, recordOf(7, "s", data));
    t.deepEqual(outcome, { kind: "snapshot-adopted" });
    t.deepEqual(state, ahead);
    t.deepEqual(foldRecord(ahead, recordOf(3, "s", data)).outcome, { kind: "snapshot-ignored" });
});

test("an old snapshot never reverts the state", t => {
    // If an old snapshot were adopted after a gap, a withdrawn key would be valid again.
    const old = snapshotRecord(AFTER_FIRST);
    const ahead = foldAll(AFTER_FIRST, [
        recordOf(1, "w", releaseRecord(noteOf({ withdrawn: { keys: ["chains-1"] } }))),
    ]);
    const { state } = foldRecord(ahead, recordOf(9, "s", old));
    t.is(state, ahead);
});

test("a snapshot that claims to include records after itself is not adopted", t => {
    const data = { ...snapshotRecord({ ...AFTER_FIRST, offset: 50 }) };
    t.is(foldRecord(initialState, recordOf(7, "s", data)).state, initialState);
});
