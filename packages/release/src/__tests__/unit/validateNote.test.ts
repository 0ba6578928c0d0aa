import test from "ava";

import { applyNote } from "../../applyNote.js";
import { emptyConfiguration } from "../../emptyConfiguration.js";
import { faultText } from "../../faultText.js";
import { validateNote } from "../../validateNote.js";
import { noteOf } from "../support/noteOf.js";
import { sampleNote } from "../support/sampleNote.js";

const CFG = applyNote(emptyConfiguration, sampleNote);
const WITHDRAWN = applyNote(CFG, noteOf({ withdrawn: { keys: ["chains-1"] } }));
const DIGEST = "f".repeat(64);

const CASES = [
    {
        title: "adding an item that exists",
        parts: { added: { models: [{ name: "guide", version: "v2" }] } },
        found: ["added.models[0]: found model guide, which exists already"],
    },
    {
        title: "changing and withdrawing items that do not exist",
        parts: { changed: { models: [{ name: "none", version: "v2" }] }, withdrawn: { keys: ["none"] } },
        found: [
            "withdrawn.keys[0]: found key none, which does not exist",
            "changed.models[0]: found model none, which does not exist",
        ],
    },
    {
        title: "a key of an unknown organisation",
        parts: { added: { keys: [{ id: "k", organisation: "none", digest: DIGEST }] } },
        found: ["added.keys[0].organisation: found organisation none, which does not exist"],
    },
    {
        title: "a key of an organisation that the note withdraws",
        parts: {
            added: { keys: [{ id: "k", organisation: "chains", digest: DIGEST }] },
            withdrawn: { organisations: ["chains"] },
        },
        found: ["added.keys[0].organisation: found organisation chains, which does not exist"],
    },
    {
        title: "a digest of another key",
        parts: { added: { keys: [{ id: "k", organisation: "chains", digest: "1".repeat(64) }] } },
        found: ["added.keys[0].digest: found the digest of key chains-1"],
    },
    {
        title: "an endpoint with an unknown model, and one with an unknown service",
        parts: {
            added: {
                endpoints: [
                    { name: "e2", kind: "model", failureDomain: "north", url: "http://h:3", models: ["none"] },
                    { name: "b2", kind: "service", failureDomain: "north", url: "http://h:4", service: "none" },
                ],
            },
        },
        found: [
            "added.endpoints[0].models[0]: found model none, which does not exist",
            "added.endpoints[1].service: found service none, which does not exist",
        ],
    },
    {
        title: "an endpoint with the URL of another",
        parts: {
            added: {
                endpoints: [
                    { name: "e2", kind: "model", failureDomain: "north", url: "http://127.0.0.1:1", models: ["guide"] },
                ],
            },
        },
        found: ["added.endpoints[0].url: found the url of endpoint e1"],
    },
    {
        title: "a share of an unknown failure domain",
        parts: { changed: { organisations: [{ id: "chains", rate: 1, burst: 1, shares: { north: 0.5, east: 0.5 } }] } },
        found: [
            "changed.organisations[0].shares.east: found failure domain east, which does not exist",
        ],
    },
    {
        title: "withdrawing a model to which an endpoint and an organisation still refer",
        parts: { withdrawn: { models: ["guide"] } },
        found: ["withdrawn.models[0]: found guide, which endpoint e1, organisation signs still name"],
    },
    {
        title: "a valid change",
        parts: { changed: { models: [{ name: "guide", version: "v2" }] }, withdrawn: { organisations: ["chains"] } },
        found: [],
    },
];

CASES.forEach(({ title, parts, found }) =>
    test(`note against a configuration: ${title}`, t => {
        const faults = validateNote(CFG, noteOf(parts)).map(faultText).map(text => text.split("; allowed")[0]);
        t.deepEqual([...faults].sort(), [...found].sort());
    })
);

test("the id of a withdrawn key cannot be used again", t => {
    const note = noteOf({ added: { keys: [{ id: "chains-1", organisation: "chains", digest: DIGEST }] } });
    t.deepEqual(validateNote(WITHDRAWN, note).map(fault => fault.found), ["key chains-1, which was withdrawn"]);
});

test("the keys of a withdrawn organisation are withdrawn with it", t => {
    const next = applyNote(CFG, noteOf({ withdrawn: { organisations: ["chains"] } }));
    t.deepEqual([...next.keys.keys()], ["ops-1" as never]);
    t.deepEqual([...next.withdrawnKeys.keys()], ["chains-1" as never]);
});
