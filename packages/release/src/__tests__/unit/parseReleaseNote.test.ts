import test from "ava";

import { faultText } from "../../faultText.js";
import { parseReleaseNote } from "../../parseReleaseNote.js";

const faultsIn = (text: string): readonly string[] => parseReleaseNote(text).swap().orDefault([]).map(faultText);

const VALID = `note: give a key
base: 4
added:
    keys:
        - id: k1
          organisation: chains
          digest: ${"a".repeat(64)}
withdrawn:
    keys: [k0]
`;

test("a valid note is parsed with default values", t => {
    const note = parseReleaseNote(VALID).map(parsed => parsed.value).extract();
    t.like(note, { note: "give a key", base: 4, withdrawn: { keys: ["k0"] }, changed: { models: [] } });
});

test("JSON is accepted as well", t => {
    t.true(parseReleaseNote("{\"note\":\"n\",\"withdrawn\":{\"keys\":[\"k\"]}}").isRight());
});

const CASES = [
    {
        title: "three faults are listed at once, each with its position",
        text: `note: three faults
added:
    organisations:
        - id: chains
          rate: -5
          burst: 100
    models:
        - name: guide
          vresion: v1
          version: v1
    endpoints:
        - { name: e1, kind: mdoel, failureDomain: north, url: "http://h:1", models: [guide] }
`,
        faults: [
            "5:11 added.organisations[0].rate: found -5; allowed: more than 0",
            "9:11 added.models[0].vresion: found an unknown field; allowed: name, version, adapters, pieceTokens, "
            + "defaultMaxTokens, minReplicas",
            "12:23 added.endpoints[0].kind: found \"mdoel\"; allowed: model, service, cache",
        ],
    },
    {
        title: "a missing field is reported at the position of its item",
        text: "note: n\nadded:\n    models:\n        - name: guide\n",
        faults: ["4:11 added.models[0].version: found nothing; allowed: a value of type string"],
    },
    {
        title: "a key given instead of its digest is not shown",
        text: "note: n\nadded:\n    keys:\n        - { id: k, organisation: o, digest: ask_secretsecret }\n",
        faults: ["4:37 added.keys[0].digest: found string of 16 characters; allowed: use 64 hexadecimal digits"],
    },
    {
        title: "broken YAML",
        text: "note: [unclosed\n",
        faults: [
            "2:1 document: found Flow sequence in block collection must be sufficiently indented and end with a ]; "
            + "allowed: well-formed YAML",
        ],
    },
    {
        title: "an empty text",
        text: "",
        faults: ["1:1 document: found an empty value; allowed: a value of type object"],
    },
    {
        title: "a note without changes",
        text: "note: n\n",
        faults: [
            "1:1 document: found a note that changes nothing; allowed: something added, changed or withdrawn",
        ],
    },
    {
        title: "an item given twice, shares that do not sum to 1, a caller's key without organisation",
        text: `note: n
added:
    organisations:
        - { id: o, rate: 1, burst: 1, shares: { north: 0.5, south: 0.4 } }
    keys:
        - { id: k, digest: ${"b".repeat(64)} }
withdrawn:
    organisations: [o]
`,
        faults: [
            "4:39 added.organisations[0].shares: found shares that sum to 0.9; allowed: shares that sum to 1",
            "6:11 added.keys[0].organisation: found nothing; allowed: the organisation of a caller's key",
            "8:21 withdrawn.organisations[0]: found organisation o again, after added; allowed: each item once in a "
            + "note",
        ],
    },
    {
        title: "aliases nested to exhaust the memory",
        text: `a: &a [x,x,x,x,x,x,x,x,x,x]\nb: &b [*a,*a,*a,*a,*a,*a,*a,*a,*a,*a]\n`
            + `c: &c [*b,*b,*b,*b,*b,*b,*b,*b,*b,*b]\nd: [*c,*c,*c,*c,*c,*c,*c,*c,*c,*c]\n`,
        faults: [
            "1:1 document: found Excessive alias count indicates a resource exhaustion attack; allowed: well-formed "
            + "YAML",
        ],
    },
];

CASES.forEach(({ title, text, faults }) =>
    test(`release note: ${title}`, t => {
        t.deepEqual(faultsIn(text), faults);
    })
);
