import test from "ava";
import { readFileSync } from "node:fs";

import { applyNote } from "../../applyNote.js";
import { diffConfiguration } from "../../diffConfiguration.js";
import { emptyConfiguration } from "../../emptyConfiguration.js";
import { exportNote } from "../../exportNote.js";
import { isInForce } from "../../isInForce.js";
import { releaseNoteSchema } from "../../releaseNoteSchema.js";
import { validateNote } from "../../validateNote.js";
import { noteOf } from "../support/noteOf.js";
import { sampleNote } from "../support/sampleNote.js";

const CFG = applyNote(emptyConfiguration, sampleNote);
const CHANGE = noteOf({
    added: { models: [{ name: "tags", version: "v1" }] },
    changed: { models: [{ name: "guide", version: "v2", adapters: ["alpine"] }] },
    withdrawn: { keys: ["chains-1"] },
});

test("an exported configuration is a valid note that results in the same items", t => {
    const note = exportNote(CFG);
    t.deepEqual(validateNote(emptyConfiguration, note), []);
    t.deepEqual(diffConfiguration(CFG, applyNote(emptyConfiguration, note)), []);
});

test("the difference of two configurations lists items and changed fields", t => {
    t.deepEqual(diffConfiguration(CFG, applyNote(CFG, CHANGE)), [
        { kind: "keys", id: "chains-1", change: "withdrawn", fields: [] },
        { kind: "models", id: "guide", change: "changed", fields: ["version", "adapters"] },
        { kind: "models", id: "tags", change: "added", fields: [] },
    ]);
});

test("a note is in force only if all of its changes are", t => {
    t.false(isInForce(CFG, CHANGE));
    t.true(isInForce(applyNote(CFG, CHANGE), CHANGE));
    t.false(isInForce(applyNote(CFG, noteOf({ withdrawn: { keys: ["chains-1"] } })), CHANGE));
});

test("the committed JSON Schema is up to date (node scripts/generateSchemas.mjs)", t => {
    const file = new URL("../../../schema/release-note.schema.json", import.meta.url);
    t.deepEqual(JSON.parse(readFileSync(file, "utf8")), releaseNoteSchema());
});
