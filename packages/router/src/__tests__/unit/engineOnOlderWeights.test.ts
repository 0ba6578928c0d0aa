import type { ModelName, VmId } from "@azureshunt/core";
import test from "ava";

import { endpointTableOf } from "../support/endpointTableOf.js";
import { entryOf } from "../support/entryOf.js";

// Guards against an engine on older weights that is taken for one on newer ones: it rejects all requests and gets no order;
// and against the opposite on VMs with few requests, which then refuse all of them.

const model = "model" as ModelName;

type Event =
    /** A registry read that finds the engine on a version; of a relay that read the store before, if `readAgeMs` is set. */
    | { readonly kind: "entry"; readonly version: number; readonly readAgeMs: number; }
    /** A peer's digest confirms the entries. */
    | { readonly kind: "digest"; }
    /** The engine's own answer, or a row of a peer's beacon. */
    | { readonly kind: "answer" | "peer"; readonly version: number; };
type Case = {
    readonly name: string;
    readonly events: readonly (readonly [atMs: number, event: Event])[];
    readonly version: number;
    /** Whether the VM has to read the entries in the end. */
    readonly isReadDue?: boolean;
};

const entry = (version: number, readAgeMs = 0): Event => ({ kind: "entry", version, readAgeMs });
const digest: Event = { kind: "digest" };
const answer = (version: number): Event => ({ kind: "answer", version });
const peer = (version: number): Event => ({ kind: "peer", version });

const cases: readonly Case[] = [
    {
        name: "an answer goes before an entry that is not newer",
        events: [[0, answer(2)], [1_000, entry(1)]],
        version: 2,
    },
    { name: "the entry goes before an answer of long ago", events: [[0, answer(2)], [5_000, entry(1)]], version: 1 },
    {
        name: "repeated answers go before the entry",
        events: [[0, answer(2)], [3_000, answer(2)], [5_000, entry(1)]],
        version: 2,
    },
    { name: "the entry goes before a peer's row of long ago", events: [[0, peer(2)], [5_000, entry(1)]], version: 1 },
    {
        name: "a peer that repeats what the entry contradicted is not believed",
        events: [[0, peer(2)], [5_000, entry(1)], [5_500, peer(2)]],
        version: 1,
    },
    {
        name: "a peer's newer version is believed",
        events: [[0, peer(2)], [5_000, entry(1)], [5_500, peer(3)]],
        version: 3,
    },
    {
        name: "the engine's own answer is believed again",
        events: [[0, peer(2)], [5_000, entry(1)], [5_500, answer(2)]],
        version: 2,
    },
    {
        name: "a digest, which leaves versions out, does not confirm the entry's",
        events: [[0, peer(2)], [4_500, digest], [9_000, digest]],
        version: 2,
        isReadDue: true,
    },
    { name: "no read is due while entries may lag behind", events: [[0, peer(2)], [3_900, digest]], version: 2 },
    {
        name: "a relay's old copy of the entry does not go before a peer's row",
        events: [[0, peer(2)], [5_000, entry(1, 2_000)]],
        version: 2,
        isReadDue: true,
    },
    {
        name: "a relay's copy that it has read since goes before a peer's row",
        events: [[0, peer(2)], [5_000, entry(1, 500)]],
        version: 1,
    },
    {
        name: "an engine that seems outdated for long is read again although no request reaches it",
        events: [[0, entry(1)], [9_000, digest]],
        version: 1,
        isReadDue: true,
    },
    {
        name: "the entry that is read then ends a peer's row that was not believed",
        events: [[0, peer(2)], [5_000, entry(1)], [5_500, peer(2)], [9_500, entry(2)]],
        version: 2,
    },
];

cases.forEach(({ name, events, version, isReadDue }) => {
    test(`engine on older weights: ${name}`, t => {
        const { endpointTable, time, engine } = endpointTableOf();
        const startedAt = time.now;
        events.forEach(([atMs, event]) => {
            time.now = startedAt + atMs;
            if (event.kind === "entry") {
                const stated = entryOf(engine, { versions: new Map([[model, event.version]]) });
                endpointTable.applyRegistryEvent({
                    kind: "changes",
                    changes: [{ name: engine, entry: stated }],
                    readAsOf: time.now - event.readAgeMs,
                });
            }
            else if (event.kind === "digest") {
                endpointTable.applyRegistryEvent({ kind: "vouched", asOf: time.now });
            }
            else if (event.kind === "answer") {
                endpointTable.observeWeights(engine, { model, version: event.version });
            }
            else {
                endpointTable.receiveWeights(engine, { model, version: event.version }, "peer" as VmId);
            }
        });
        t.is(endpointTable.engines(model)[0]?.version, version);
        t.is(endpointTable.areVersionsInDoubt(), isReadDue ?? false);
    });
});
