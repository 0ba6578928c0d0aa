import { EndpointName } from "@azureshunt/core";
import test from "ava";
import fc from "fast-check";

import { clearSuspect } from "../../clearSuspect.js";
import { fingerprintOf } from "../../fingerprintOf.js";
import { isSpreadTo } from "../../isSpreadTo.js";
import { isSuspect } from "../../isSuspect.js";
import { mayShareEndpoint } from "../../mayShareEndpoint.js";
import { noSuspects } from "../../noSuspects.js";
import { noteDeath } from "../../noteDeath.js";
import { quarantine } from "../../quarantine.js";
import { quarantinedUntil } from "../../quarantinedUntil.js";
import type { RequestFingerprint } from "../../RequestFingerprint.js";
import { SUSPECT_LIMITS } from "../../SUSPECT_LIMITS.js";
import type { SuspectState } from "../../SuspectState.js";

const SEED = 20_261_202;
const NAMES = ["killer", "a", "b", "c"] as const;
type Name = (typeof NAMES)[number];

const id = (name: string): RequestFingerprint => fingerprintOf([name]);

type Death = { readonly running: readonly Name[]; readonly complete?: boolean; readonly at?: number; };

const after = (deaths: readonly Death[]): SuspectState =>
    deaths.reduce((state, { running, complete = true, at = 0 }, index) => {
        const death = {
            id: `death-${index}`,
            endpoint: EndpointName.parse(`engine-${index}`),
            at,
            running: running.map(id),
        };
        return noteDeath(state, { death, complete }, at).state;
    }, noSuspects);

// A request crashes one engine after the other, or an innocent one that shared two of them is stopped for it.
const cases: readonly {
    readonly name: string;
    readonly deaths: readonly Death[];
    readonly quarantined: readonly Name[];
    readonly suspects: readonly Name[];
}[] = [
    {
        name: "one death decides nothing",
        deaths: [{ running: ["killer", "a"] }],
        quarantined: [],
        suspects: ["killer", "a"],
    },
    {
        name: "the second death decides, and clears those that shared the endpoints",
        deaths: [{ running: ["killer", "a"] }, { running: ["killer", "b"] }],
        quarantined: ["killer"],
        suspects: [],
    },
    {
        name: "two present at both deaths are not condemned",
        deaths: [{ running: ["killer", "a"] }, { running: ["killer", "a"] }],
        quarantined: [],
        suspects: ["killer", "a"],
    },
    {
        name: "a third death tells those two apart",
        deaths: [{ running: ["killer", "a"] }, { running: ["killer", "a"] }, { running: ["killer", "b"] }],
        quarantined: ["killer"],
        suspects: [],
    },
    {
        name: "a VM that has not answered may have run the request at fault",
        deaths: [{ running: ["a"] }, { running: ["a"], complete: false }],
        quarantined: [],
        suspects: ["a"],
    },
    {
        name: "with a VM unheard the third death decides",
        deaths: [{ running: ["killer"] }, { running: ["killer"], complete: false }, {
            running: ["killer"],
            complete: false,
        }],
        quarantined: ["killer"],
        suspects: [],
    },
    {
        name: "deaths far apart are not held together",
        deaths: [{ running: ["a"] }, { running: ["a"], at: SUSPECT_LIMITS.suspectMs }],
        quarantined: [],
        suspects: ["a"],
    },
    {
        name: "a death with a condemned request present accuses nobody else",
        deaths: [{ running: ["killer"] }, { running: ["killer"] }, { running: ["killer", "b", "c"] }],
        quarantined: ["killer"],
        suspects: [],
    },
];

cases.forEach(({ name, deaths, quarantined, suspects }) =>
    test(`suspects: ${name}`, t => {
        const state = after(deaths);
        const now = deaths.at(-1)?.at ?? 0;
        t.deepEqual(NAMES.filter(request => quarantinedUntil(state, id(request), now) !== undefined), quarantined);
        t.deepEqual(NAMES.filter(request => isSuspect(state, id(request))), suspects);
    })
);

[
    { name: "a suspect beside another suspect", request: "a", running: ["killer"], may: false },
    { name: "a suspect beside others", request: "a", running: ["c"], may: true },
    { name: "others beside a suspect", request: "c", running: ["killer"], may: true },
    { name: "a suspect beside itself", request: "a", running: ["a"], may: true },
].forEach(({ name, request, running, may }) =>
    test(`suspects: sharing, ${name}`, t => {
        const state = after([{ running: ["killer", "a"] }]);
        t.is(mayShareEndpoint(state, id(request), running.map(id)), may);
    })
);

test("suspects: a quarantine ends at the stated time", t => {
    const state = quarantine(noSuspects, id("killer"), 100);
    t.is(quarantinedUntil(state, id("killer"), 99), 100);
    t.is(quarantinedUntil(state, id("killer"), 100), undefined);
});

test("suspects: the same death told twice counts once", t => {
    const death = { id: "d", endpoint: EndpointName.parse("e"), at: 0, running: [id("a")] };
    const once = noteDeath(noSuspects, { death, complete: true }, 0).state;
    const twice = noteDeath(once, { death, complete: true }, 1);
    t.deepEqual(twice.effects, []);
    t.is(twice.state.deaths.length, 1);
});

test("suspects: spread apart, only the request at fault is ever condemned, within a few deaths, in bounded memory", t => {
    const innocents = fc.array(fc.integer({ min: 0, max: 30 }), { minLength: 1, maxLength: 12 });
    fc.assert(
        fc.property(fc.array(innocents, { minLength: 2, maxLength: 6 }), crowds => {
            const killer = id("killer");
            const state = crowds.reduce<SuspectState>((known, crowd, index) => {
                const beside = crowd
                    .map(number => id(`innocent-${number}`))
                    .filter(other => mayShareEndpoint(known, killer, [other]));
                const death = {
                    id: `d${index}`,
                    endpoint: EndpointName.parse(`e${index}`),
                    at: 0,
                    running: [killer, ...beside],
                };
                return noteDeath(known, { death, complete: true }, 0).state;
            }, noSuspects);
            return state.quarantined.size === 1 && state.quarantined.has(killer);
        }),
        { seed: SEED, numRuns: 500 },
    );
    const many = Array.from({ length: 5_000 }).reduce<SuspectState>(
        (state, _, index) => quarantine(state, id(`q${index}`), index),
        after([]),
    );
    t.is(many.quarantined.size, SUSPECT_LIMITS.quarantined);
});

test("suspects: right after a death its suspects are dealt out to different endpoints, and later go anywhere", t => {
    const endpoints = ["engine-0", "engine-1", "engine-2", "engine-3"].map(name => EndpointName.parse(name));
    const state = after([{ running: ["killer", "a"] }]);
    const dealt = (name: Name, at: number) =>
        endpoints.filter(endpoint => isSpreadTo(state, id(name), endpoint, endpoints, at));
    const [killer, other] = [dealt("killer", 0), dealt("a", 0)];
    t.false(killer.some(endpoint => other.includes(endpoint)));
    t.true(killer.length > 0 && other.length > 0);
    t.is(killer.length + other.length, endpoints.length - 1, "the dead endpoint is nobody's");
    t.deepEqual(dealt("killer", 2_001), endpoints);
    t.deepEqual(dealt("b", 0), endpoints, "others are not bound");
});

test("suspects: a request that has run to its end is a suspect no longer", t => {
    const state = clearSuspect(after([{ running: ["killer", "a"] }]), id("a"));
    t.false(isSuspect(state, id("a")));
    t.true(isSuspect(state, id("killer")));
});
