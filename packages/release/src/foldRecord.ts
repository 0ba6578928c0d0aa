import type { RecordId } from "@azureshunt/core";
import { createHash } from "node:crypto";

import { adoptState } from "./adoptState.js";
import { applyNote } from "./applyNote.js";
import type { Configuration } from "./Configuration.js";
import type { ConfigurationRecord } from "./ConfigurationRecord.js";
import type { ConfigurationState } from "./ConfigurationState.js";
import { faultText } from "./faultText.js";
import type { FoldStep } from "./FoldStep.js";
import type { NoteFault } from "./NoteFault.js";
import { ReleaseNote } from "./ReleaseNote.js";
import { schemaFaults } from "./schemaFaults.js";
import { stateOfSnapshot } from "./stateOfSnapshot.js";
import { touchedItems } from "./touchedItems.js";
import { validateNote } from "./validateNote.js";
import type { Verdict } from "./Verdict.js";

/** Record ids remembered: several days of changes at the intended scale. A later repetition is not recognised. */
const MAX_RECENT = 1_024;
const MAX_RELEASES = 256;
const MAX_FAULTS = 20;
const MAX_TOUCHED = 50;

const newestEntries = <Key, Value>(entries: ReadonlyMap<Key, Value>, max: number): ReadonlyMap<Key, Value> =>
    entries.size <= max ? entries : new Map([...entries].slice(-max));

const withVerdict = (state: ConfigurationState, id: RecordId, verdict: Verdict): FoldStep => ({
    state: { ...state, recent: newestEntries(new Map([...state.recent, [id, verdict]]), MAX_RECENT) },
    outcome: verdict,
});

const invalidVerdict = (faults: readonly NoteFault[]): Verdict => ({
    kind: "invalid",
    faults: faults.slice(0, MAX_FAULTS).map(faultText),
});

const conflictVerdict = (state: ConfigurationState, base: number): Verdict => {
    const { revision } = state.configuration;
    const changed = state.releases
        .filter(release => release.revision > base)
        .flatMap(release => release.touched);
    return { kind: "conflict", base, revision, changed: [...new Set(changed)].slice(0, MAX_TOUCHED) };
};

const acceptNote = (
    state: ConfigurationState,
    record: ConfigurationRecord,
    note: ReleaseNote,
    configuration: Configuration,
): FoldStep => {
    const { revision } = configuration;
    const touched = touchedItems(note);
    // Computed over the record as written, so that daemon versions with other default values get the same digest.
    const digest = createHash("sha256").update(state.digest).update(record.id).update(JSON.stringify(record.data));
    const summary = {
        revision,
        id: record.id,
        offset: record.offset,
        at: record.at,
        note: note.note,
        touched: touched.slice(0, MAX_TOUCHED),
        touchedCount: touched.length,
    };
    const next: ConfigurationState = {
        ...state,
        configuration,
        digest: digest.digest("hex"),
        releases: [...state.releases, summary].slice(-MAX_RELEASES),
    };
    return withVerdict(next, record.id, { kind: "accepted", revision });
};

const foldNote = (state: ConfigurationState, record: ConfigurationRecord, data: unknown): FoldStep => {
    // If the answer to an append is lost after the record was stored, the writer appends the record again. Folding the
    // second copy would report a conflict with the operator's own note, or undo a change made in between.
    const first = state.recent.get(record.id);
    if (first !== undefined) {
        return { state, outcome: { kind: "repeated", first } };
    }
    const parsed = ReleaseNote.safeParse(data);
    if (!parsed.success) {
        return withVerdict(state, record.id, invalidVerdict(schemaFaults(ReleaseNote, data, parsed.error)));
    }
    const { base } = parsed.data;
    // If two operators write against the same revision, the note that comes second in the log was written without
    // knowledge of the first and would overwrite its changes. Every reader therefore rejects the second.
    if (base !== undefined && base !== state.configuration.revision) {
        return withVerdict(state, record.id, conflictVerdict(state, base));
    }
    const configuration = applyNote(state.configuration, parsed.data);
    const faults = validateNote(state.configuration, parsed.data, configuration);
    return faults.length > 0
        ? withVerdict(state, record.id, invalidVerdict(faults))
        : acceptNote(state, record, parsed.data, configuration);
};

const foldSnapshot = (state: ConfigurationState, record: ConfigurationRecord): FoldStep => {
    const snapshot = stateOfSnapshot(record.data);
    // A snapshot can include only records before itself; one that claims more would make readers skip records.
    const next = snapshot === undefined || snapshot.offset > record.offset ? state : adoptState(state, snapshot);
    return { state: next, outcome: { kind: next === state ? "snapshot-ignored" : "snapshot-adopted" } };
};

const fieldsOf = (data: unknown): { readonly kind?: unknown; readonly note?: unknown; } =>
    typeof data === "object" && data !== null ? data : {};

/**
 * Folds one record of the configuration stream into the state. Every VM that folds the same records reaches the same
 * state. A malformed record, or one of an unknown kind, changes only the offset. Never throws.
 *
 * @param record any record of the stream; one before the state's offset changes nothing, and one after a gap changes
 *     the state only if it is a snapshot
 */
export function foldRecord(state: ConfigurationState, record: ConfigurationRecord): FoldStep {
    if (record.offset < state.offset) {
        return { state, outcome: { kind: "already-folded" } };
    }
    const { kind, note } = fieldsOf(record.data);
    // Records between the state and this one expired before they were read. Folding this one would silently skip them,
    // possibly a withdrawal among them. Only a snapshot, which includes them, moves the state across the gap.
    if (record.offset > state.offset) {
        return kind === "snapshot" ? foldSnapshot(state, record) : { state, outcome: { kind: "gap" } };
    }
    const advanced = { ...state, offset: state.offset + 1 };
    if (kind === "snapshot") {
        return { state: advanced, outcome: { kind: "snapshot-ignored" } };
    }
    return kind === "release" ? foldNote(advanced, record, note) : { state: advanced, outcome: { kind: "unknown" } };
}
