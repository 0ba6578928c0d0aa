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

/** Records whose ids are remembered: days of changes at the size designed for. A later repetition is not recognised. */
const MAX_RECENT = 1_024;
const MAX_RELEASES = 256;
const MAX_FAULTS = 20;
const MAX_TOUCHED = 50;

const lastOf = <Key, Value>(entries: ReadonlyMap<Key, Value>, max: number): ReadonlyMap<Key, Value> =>
    entries.size <= max ? entries : new Map([...entries].slice(-max));

const judged = (state: ConfigurationState, id: RecordId, verdict: Verdict): FoldStep => ({
    state: { ...state, recent: lastOf(new Map([...state.recent, [id, verdict]]), MAX_RECENT) },
    outcome: verdict,
});

const invalid = (faults: readonly NoteFault[]): Verdict => ({
    kind: "invalid",
    faults: faults.slice(0, MAX_FAULTS).map(faultText),
});

const conflictSince = (state: ConfigurationState, base: number): Verdict => {
    const { revision } = state.configuration;
    const changed = state.releases
        .filter(release => release.revision > base)
        .flatMap(release => release.touched);
    return { kind: "conflict", base, revision, changed: [...new Set(changed)].slice(0, MAX_TOUCHED) };
};

const accept = (
    state: ConfigurationState,
    record: ConfigurationRecord,
    note: ReleaseNote,
    configuration: Configuration,
): FoldStep => {
    const { revision } = configuration;
    const touched = touchedItems(note);
    // Of the record as written, so that versions of the daemon that know other default values agree on it.
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
    return judged(next, record.id, { kind: "accepted", revision });
};

const foldNote = (state: ConfigurationState, record: ConfigurationRecord, data: unknown): FoldStep => {
    // The answer to an append can be lost after the record was taken, and the writer then appends it again. Folding
    // the second copy would report a conflict with the operator's own note, or undo a change made in between.
    const first = state.recent.get(record.id);
    if (first !== undefined) {
        return { state, outcome: { kind: "repeated", first } };
    }
    const parsed = ReleaseNote.safeParse(data);
    if (!parsed.success) {
        return judged(state, record.id, invalid(schemaFaults(ReleaseNote, data, parsed.error)));
    }
    const { base } = parsed.data;
    // Two operators write against the same revision. The log puts one first; the second was written without knowing of
    // it and would overwrite what it changed, so every reader rejects it alike.
    if (base !== undefined && base !== state.configuration.revision) {
        return judged(state, record.id, conflictSince(state, base));
    }
    const configuration = applyNote(state.configuration, parsed.data);
    const faults = validateNote(state.configuration, parsed.data, configuration);
    return faults.length > 0
        ? judged(state, record.id, invalid(faults))
        : accept(state, record, parsed.data, configuration);
};

const takeSnapshot = (state: ConfigurationState, record: ConfigurationRecord): FoldStep => {
    const snapshot = stateOfSnapshot(record.data);
    // A snapshot can only tell of records before itself; one that claims more would make readers skip records.
    const next = snapshot === undefined || snapshot.offset > record.offset ? state : adoptState(state, snapshot);
    return { state: next, outcome: { kind: next === state ? "snapshot-ignored" : "snapshot-taken" } };
};

const fieldsOf = (data: unknown): { readonly kind?: unknown; readonly note?: unknown; } =>
    typeof data === "object" && data !== null ? data : {};

/**
 * Folds one record of the configuration stream. Every VM that folds the same records reaches the same state. Records
 * that are malformed or of an unknown kind change nothing but the offset; nothing makes the fold throw.
 *
 * @param state the state so far
 * @param record any record of the stream; one before the state's offset changes nothing, and one behind a gap only
 * when it is a snapshot
 */
export function foldRecord(state: ConfigurationState, record: ConfigurationRecord): FoldStep {
    if (record.offset < state.offset) {
        return { state, outcome: { kind: "passed" } };
    }
    const { kind, note } = fieldsOf(record.data);
    // Records between the state and this one have expired unread. Folding on would skip them silently, and with them
    // perhaps a withdrawal; so nothing but a snapshot, which holds them, moves the state across the gap.
    if (record.offset > state.offset) {
        return kind === "snapshot" ? takeSnapshot(state, record) : { state, outcome: { kind: "gap" } };
    }
    const here = { ...state, offset: state.offset + 1 };
    if (kind === "snapshot") {
        return { state: here, outcome: { kind: "snapshot-ignored" } };
    }
    return kind === "release" ? foldNote(here, record, note) : { state: here, outcome: { kind: "unknown" } };
}
