import test from "ava";

import { emptyHistory } from "../../emptyHistory.js";
import type { HistoryEvent } from "../../HistoryEvent.js";
import { settledRuns } from "../../settledRuns.js";
import { soleVersion } from "../../soleVersion.js";
import { stepHistory } from "../../stepHistory.js";
import type { VersionHistory } from "../../VersionHistory.js";
import { runOf } from "../support/runOf.js";

type Event = readonly [at: number, event: HistoryEvent];

const registered = (...versions: readonly (string | undefined)[]): HistoryEvent => ({
    kind: "registered",
    versions: versions.map(version => [version, 0]),
});
const current = (since: number): HistoryEvent => ({ kind: "current", since });
const after = (events: readonly Event[]): VersionHistory =>
    events.reduce((history, [at, event]) => stepHistory(history, event, at), emptyHistory);

const soleCases: readonly {
    readonly name: string;
    readonly events: readonly Event[];
    readonly at: number;
    readonly sole: string | undefined;
}[] = [
    {
        name: "one version for as long as a stream lasts",
        events: [[0, registered("v1")], [0, current(0)], [31_000, registered("v1")]],
        at: 31_000,
        sole: "v1",
    },
    {
        name: "one version, but not known for long enough",
        events: [[0, registered("v1")], [0, current(0)], [29_000, registered("v1")]],
        at: 29_000,
        sole: undefined,
    },
    {
        name: "one version since the first start of all VMs",
        events: [[0, registered("v1")], [0, current(-Infinity)]],
        at: 100,
        sole: "v1",
    },
    {
        name: "another version that has just left",
        events: [[0, current(-Infinity)], [0, registered("v1", "v2")], [20_000, registered("v2")]],
        at: 20_000,
        sole: undefined,
    },
    {
        name: "another version that left longer ago than a stream lasts",
        events: [[0, current(-Infinity)], [0, registered("v1", "v2")], [31_000, registered("v2")]],
        at: 31_000,
        sole: "v2",
    },
    {
        name: "a gap, in which another version may have come and gone",
        events: [
            [0, current(-Infinity)],
            [40_000, registered("v1")],
            [41_000, { kind: "outdated" }],
            [42_000, current(42_000)],
            [43_000, registered("v1")],
        ],
        at: 43_000,
        sole: undefined,
    },
    {
        name: "the history of a peer, which goes back far enough",
        events: [
            [0, registered("v1")],
            [0, current(0)],
            [100, { kind: "stated", askedAt: 90, coveredMs: 60_000, versions: [["v1", 60_000, 0]] }],
        ],
        at: 100,
        sole: "v1",
    },
    {
        name: "the history of a peer with another version",
        events: [
            [0, registered("v1")],
            [0, current(0)],
            [100, {
                kind: "stated",
                askedAt: 90,
                coveredMs: 60_000,
                versions: [["v1", 60_000, 0], ["v2", 9_000, 8_000]],
            }],
        ],
        at: 100,
        sole: undefined,
    },
    {
        name: "the history of a peer that ends before this VM's own begins",
        events: [
            [95, current(95)],
            [95, registered("v1")],
            [100, { kind: "stated", askedAt: 90, coveredMs: 60_000, versions: [["v1", 60_000, 0]] }],
        ],
        at: 100,
        sole: undefined,
    },
    {
        name: "entries that state no version",
        events: [[0, current(-Infinity)], [0, registered(undefined)]],
        at: 0,
        sole: undefined,
    },
];

// Guards against a version being taken for that of all streams although another one served when they began.
soleCases.forEach(({ name, events, at, sole }) => {
    test(`version history: ${name} give ${sole ?? "no version"} as the only one`, t => {
        t.is(soleVersion(after(events), at), sole);
    });
});

const SETTLE_MS = 2_000;
const old = runOf("e1", "v1");
const newer = runOf("e2", "v2");
const settleCases = [
    { name: "a version that VMs may not know yet gets none", runs: [old, newer], at: 11_900, selected: [old] },
    { name: "a version that all VMs must know gets some", runs: [old, newer], at: 12_100, selected: [old, newer] },
] as const;

// Guards against streams that begin at a version while another VM takes all streams for ones of the version before.
settleCases.forEach(({ name, runs, at, selected }) => {
    test(`version history: of the new streams, ${name}`, t => {
        const history = after([[0, registered("v1")], [10_000, registered("v1", "v2")]]);
        t.deepEqual(settledRuns(runs, history, SETTLE_MS, at), selected);
    });
});

test("version history: a version that comes back counts as new", t => {
    const history = after([[0, registered("v1", "v2")], [40_000, registered("v1")], [60_000, registered("v1", "v2")]]);
    t.deepEqual(settledRuns([old, newer], history, SETTLE_MS, 60_100), [old]);
});
