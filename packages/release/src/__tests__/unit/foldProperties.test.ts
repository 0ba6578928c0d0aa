import test from "ava";
import fc from "fast-check";

import { adoptState } from "../../adoptState.js";
import type { ConfigurationRecord } from "../../ConfigurationRecord.js";
import type { ConfigurationState } from "../../ConfigurationState.js";
import { foldRecord } from "../../foldRecord.js";
import { initialState } from "../../initialState.js";
import { releaseRecord } from "../../releaseRecord.js";
import { snapshotRecord } from "../../snapshotRecord.js";
import { stateOfSnapshot } from "../../stateOfSnapshot.js";
import { noteOf } from "../support/noteOf.js";
import { recordOf } from "../support/recordOf.js";

const SEED = 20_261;
const RUNS = 300;
const NAMES = ["m1", "m2", "m3"];

/** Data of release records: any note on a few models, with any base or none. */
const releaseData = fc.oneof(
    { weight: 8, arbitrary: fc.tuple(fc.constantFrom("added", "changed"), fc.constantFrom(...NAMES), fc.nat(4)) },
    { weight: 3, arbitrary: fc.tuple(fc.constant("withdrawn"), fc.constantFrom(...NAMES), fc.nat(4)) },
).chain(([section, name, version]) =>
    fc.option(fc.nat(12), { nil: undefined }).map(base => {
        const models = section === "withdrawn" ? [name] : [{ name, version: `v${version}` }];
        return releaseRecord(noteOf({ base, [section]: { models } }));
    })
);
const entry = fc.record({ id: fc.nat(30), data: fc.oneof({ weight: 6, arbitrary: releaseData }, fc.jsonValue()) });
const log = fc.array(entry, { maxLength: 40 }).map(entries =>
    entries.map((each, offset) => recordOf(offset, `r${each.id}`, each.data))
);

const statesOf = (records: readonly ConfigurationRecord[]): readonly ConfigurationState[] =>
    records.reduce<ConfigurationState[]>((states, record) => {
        states.push(foldRecord(states.at(-1) ?? initialState, record).state);
        return states;
    }, [initialState]);

const foldFrom = (state: ConfigurationState, records: readonly ConfigurationRecord[]): ConfigurationState =>
    records.reduce((at, record) => foldRecord(at, record).state, state);

test("readers that read in any portions, with repetitions, reach the same state", t => {
    fc.assert(
        fc.property(log, fc.array(fc.nat(40), { maxLength: 10 }), (records, rewinds) => {
            const expected = foldFrom(initialState, records);
            const rewound = rewinds.reduce(
                (at, to) => foldFrom(foldFrom(at, records.slice(0, at.offset + 1)), records.slice(to, at.offset)),
                initialState,
            );
            t.deepEqual(foldFrom(rewound, records), expected);
        }),
        { seed: SEED, numRuns: RUNS },
    );
});

test("a reader that starts from any snapshot reaches the same state and digest", t => {
    fc.assert(
        fc.property(log, fc.nat(40), (records, cut) => {
            const states = statesOf(records);
            const at = Math.min(cut, records.length);
            const data = JSON.parse(JSON.stringify(snapshotRecord(states[at] ?? initialState))) as unknown;
            const restored = stateOfSnapshot(data) ?? initialState;
            t.deepEqual(foldFrom(restored, records), states.at(-1));
        }),
        { seed: SEED, numRuns: RUNS },
    );
});

test("revisions never decrease, whatever is folded or adopted, in any order", t => {
    fc.assert(
        fc.property(log, fc.array(fc.tuple(fc.boolean(), fc.nat(41)), { maxLength: 60 }), (records, moves) => {
            const states = statesOf(records);
            moves.reduce((state, [isAdoption, at]) => {
                const next = isAdoption
                    ? adoptState(state, states[Math.min(at, records.length)] ?? initialState)
                    : foldFrom(state, records.slice(at, at + 1));
                t.true(next.configuration.revision >= state.configuration.revision);
                t.deepEqual(next, states[next.offset]);
                return next;
            }, initialState);
        }),
        { seed: SEED, numRuns: RUNS },
    );
});
