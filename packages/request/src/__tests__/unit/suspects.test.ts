import { EndpointName } from "@azureshunt/core";
import test from "ava";
import fc from "fast-check";

import { clearSuspect } from "../../clearSuspect.js";
import { fingerprintOf } from "../../fingerprintOf.js";
import { isAssignedEndpoint } from "../../isAssignedEndpoint.js";
import { isSuspect } from "../../isSuspect.js";
import { mayShareEndpoint } from "../../mayShareEndpoint.js";
import { noSuspects } from "../../noSuspects.js";
import { quarantine } from "../../quarantine.js";
import { quarantinedUntil } from "../../quarantinedUntil.js";
import { recordDeath } from "../../recordDeath.js";
import type { RequestFingerprint } from "../../RequestFingerprint.js";
import { SUSPECT_LIMITS } from "../../SUSPECT_LIMITS.js";
import type { SuspectState } from "../../SuspectState.js";

const SEED = 20_261_202;
const NAMES = ["killer", "a", "b", "c"] as const;
type Name = (typeof NAMES)[number];

const fingerprint = (name: string): RequestFingerprint => fingerprintOf([name]);

type Death = { readonly running: readonly Name[]; readonly complete?: boolean; readonly at?: number; };

const stateAfter = (deaths: readonly Death[]): SuspectState =>
    deaths.reduce((state, { running, complete = true, at = 0 }, index) => {
        const death = {
            id: `death-${index}`,
            endpoint: EndpointName.parse(`engine-${index}`),
            at,
            running: running.map(fingerprint),
        };
        return recordDeath(state, { death, complete }, at).state;
    }, noSuspects);

// Guards against a request that crashes one engine after the other, and against quarantining an unrelated request that
// happened to share two of them.
const cases: readonly {
    readonly name: string;
    readonly deaths: readonly Death[];
    readonly quarantined: readonly Name[];
    readonly suspects: readonly Name[];
}[] = [
    {
        name: "one death does not quarantine",
        deaths: [{ running: ["killer", "a"] }],
        quarantined: [],
        suspects: ["killer", "a"],
    },
    {
        name: "the second death quarantines the request common to both, and clears those that shared the endpoints",
        deaths: [{ running: ["killer", "a"] }, { running: ["killer", "b"] }],
        quarantined: ["killer"],
        suspects: [],
    },
    {
        name: "two requests that ran at both deaths are not quarantined",
        deaths: [{ running: ["killer", "a"] }, { running: ["killer", "a"] }],
        quarantined: [],
        suspects: ["killer", "a"],
    },
    {
        name: "a third death tells these two apart",
        deaths: [{ running: ["killer", "a"] }, { running: ["killer", "a"] }, { running: ["killer", "b"] }],
        quarantined: ["killer"],
        suspects: [],
    },
    {
        name: "the second death does not quarantine while a VM has not reported",
        deaths: [{ running: ["a"] }, { running: ["a"], complete: false }],
        quarantined: [],
        suspects: ["a"],
    },
    {
        name: "the third death quarantines although a VM has not reported",
        deaths: [{ running: ["killer"] }, { running: ["killer"], complete: false }, {
            running: ["killer"],
            complete: false,
        }],
        quarantined: ["killer"],
        suspects: [],
    },
    {
        name: "deaths far apart are not combined",
        deaths: [{ running: ["a"] }, { running: ["a"], at: SUSPECT_LIMITS.suspectMs }],
        quarantined: [],
        suspects: ["a"],
    },
    {
        name: "a death with a quarantined request running makes no other request a suspect",
        deaths: [{ running: ["killer"] }, { running: ["killer"] }, { running: ["killer", "b", "c"] }],
        quarantined: ["killer"],
        suspects: [],
    },
];

cases.forEach(({ name, deaths, quarantined, suspects }) =>
    test(`suspects: ${name}`, t => {
        const state = stateAfter(deaths);
        const now = deaths.at(-1)?.at ?? 0;
        t.deepEqual(
            NAMES.filter(request => quarantinedUntil(state, fingerprint(request), now) !== undefined),
            quarantined,
        );
        t.deepEqual(NAMES.filter(request => isSuspect(state, fingerprint(request))), suspects);
    })
);

[
    { name: "a suspect beside another suspect", request: "a", running: ["killer"], may: false },
    { name: "a suspect beside other requests", request: "a", running: ["c"], may: true },
    { name: "another request beside a suspect", request: "c", running: ["killer"], may: true },
    { name: "a suspect beside itself", request: "a", running: ["a"], may: true },
].forEach(({ name, request, running, may }) =>
    test(`suspects: sharing, ${name}`, t => {
        const state = stateAfter([{ running: ["killer", "a"] }]);
        t.is(mayShareEndpoint(state, fingerprint(request), running.map(fingerprint)), may);
    })
);

test("suspects: a quarantine ends at the given time", t => {
    const state = quarantine(noSuspects, fingerprint("killer"), 100);
    t.is(quarantinedUntil(state, fingerprint("killer"), 99), 100);
    t.is(quarantinedUntil(state, fingerprint("killer"), 100), undefined);
});

test("suspects: the same death reported twice counts once", t => {
    const death = { id: "d", endpoint: EndpointName.parse("e"), at: 0, running: [fingerprint("a")] };
    const once = recordDeath(noSuspects, { death, complete: true }, 0).state;
    const twice = recordDeath(once, { death, complete: true }, 1);
    t.deepEqual(twice.effects, []);
    t.is(twice.state.deaths.length, 1);
});

test("suspects: on separate endpoints, only the cause is quarantined, within a few deaths and in bounded memory", t => {
    const unrelated = fc.array(fc.integer({ min: 0, max: 30 }), { minLength: 1, maxLength: 12 });
    fc.assert(
        fc.property(fc.array(unrelated, { minLength: 2, maxLength: 6 }), requestsByDeath => {
            const killer = fingerprint("killer");
            const state = requestsByDeath.reduce<SuspectState>((known, numbers, index) => {
                const beside = numbers
                    .map(number => fingerprint(`unrelated-${number}`))
                    .filter(other => mayShareEndpoint(known, killer, [other]));
                const death = {
                    id: `d${index}`,
                    endpoint: EndpointName.parse(`e${index}`),
                    at: 0,
                    running: [killer, ...beside],
                };
                return recordDeath(known, { death, complete: true }, 0).state;
            }, noSuspects);
            return state.quarantined.size === 1 && state.quarantined.has(killer);
        }),
        { seed: SEED, numRuns: 500 },
    );
    const many = Array.from({ length: 5_000 }).reduce<SuspectState>(
        (state, _, index) => quarantine(state, fingerprint(`q${index}`), index),
        stateAfter([]),
    );
    t.is(many.quarantined.size, SUSPECT_LIMITS.maxQuarantined);
});

test("suspects: right after a death its suspects are assigned to different endpoints; later any is allowed", t => {
    const endpoints = ["engine-0", "engine-1", "engine-2", "engine-3"].map(name => EndpointName.parse(name));
    const state = stateAfter([{ running: ["killer", "a"] }]);
    const assignedTo = (name: Name, at: number) =>
        endpoints.filter(endpoint => isAssignedEndpoint(state, fingerprint(name), endpoint, endpoints, at));
    const [killer, other] = [assignedTo("killer", 0), assignedTo("a", 0)];
    t.false(killer.some(endpoint => other.includes(endpoint)));
    t.true(killer.length > 0 && other.length > 0);
    t.is(killer.length + other.length, endpoints.length - 1, "the dead endpoint is assigned to none");
    t.deepEqual(assignedTo("killer", 2_001), endpoints);
    t.deepEqual(assignedTo("b", 0), endpoints, "other requests are not restricted");
});

test("suspects: a completed request is no longer a suspect", t => {
    const state = clearSuspect(stateAfter([{ running: ["killer", "a"] }]), fingerprint("a"));
    t.false(isSuspect(state, fingerprint("a")));
    t.true(isSuspect(state, fingerprint("killer")));
});
