import { EndpointName } from "@azureshunt/core";
import test from "ava";

import { clearPossibleDeath } from "../../clearPossibleDeath.js";
import { clearSuspect } from "../../clearSuspect.js";
import { fingerprintOf } from "../../fingerprintOf.js";
import { hasSuspects } from "../../hasSuspects.js";
import { isSuspect } from "../../isSuspect.js";
import { isWithheld } from "../../isWithheld.js";
import { noSuspects } from "../../noSuspects.js";
import { quarantinedUntil } from "../../quarantinedUntil.js";
import { recordBrokenTry } from "../../recordBrokenTry.js";
import { recordDeath } from "../../recordDeath.js";
import type { RequestFingerprint } from "../../RequestFingerprint.js";
import type { SuspectState } from "../../SuspectState.js";

const fingerprint = (name: string): RequestFingerprint => fingerprintOf([name]);

type Change = (state: SuspectState) => SuspectState;

const died = (death: string, running: readonly string[], complete: boolean): Change => state =>
    recordDeath(
        state,
        {
            death: { id: death, endpoint: EndpointName.parse("engine"), at: 0, running: running.map(fingerprint) },
            complete,
        },
        0,
    ).state;
const brokeOff = (request: string, death: string): Change => state =>
    recordBrokenTry(state, fingerprint(request), death);
const checked = (death: string): Change => state => clearPossibleDeath(state, death);
const completed = (request: string): Change => state => clearSuspect(state, fingerprint(request));

type Case = {
    readonly name: string;
    readonly changes: readonly Change[];
    readonly withheld: readonly string[];
    readonly quarantined: readonly string[];
};

const NAMES = ["killer", "a"];

// If VMs are slow to report what they ran, a request that crashes endpoints could run again and crash a third one.
const cases: readonly Case[] = [
    { name: "one death withholds nothing", changes: [died("d1", ["killer"], true)], withheld: [], quarantined: [] },
    {
        name: "two deaths, one VM has not reported: withheld",
        changes: [died("d1", ["killer"], true), died("d2", ["killer"], false)],
        withheld: ["killer"],
        quarantined: [],
    },
    {
        name: "two deaths, the last VM reports late that it ran nothing there: quarantined",
        changes: [died("d1", ["killer"], true), died("d2", ["killer"], false), died("d2", [], true)],
        withheld: [],
        quarantined: ["killer"],
    },
    {
        name: "two deaths, the last VM reports late that it ran another suspect there: both withheld",
        changes: [died("d1", ["killer", "a"], true), died("d2", ["a"], false), died("d2", ["killer"], true)],
        withheld: ["killer", "a"],
        quarantined: [],
    },
    {
        name: "a late report does not make a completed request a suspect again",
        changes: [died("d1", ["killer", "a"], false), completed("a"), died("d1", ["a"], true)],
        withheld: [],
        quarantined: [],
    },
    {
        name: "one death and a try that broke off at another endpoint: withheld",
        changes: [died("d1", ["killer"], true), brokeOff("killer", "d2")],
        withheld: ["killer"],
        quarantined: [],
    },
    {
        name: "two tries that broke off, not checked yet: withheld",
        changes: [brokeOff("killer", "d1"), brokeOff("killer", "d2")],
        withheld: ["killer"],
        quarantined: [],
    },
    {
        name: "a try that broke off with a death already reported by another VM counts as one death",
        changes: [died("d1", ["killer"], true), brokeOff("killer", "d1")],
        withheld: [],
        quarantined: [],
    },
    {
        name: "two tries that broke off, one endpoint is alive: not withheld",
        changes: [brokeOff("killer", "d1"), brokeOff("killer", "d2"), checked("d2")],
        withheld: [],
        quarantined: [],
    },
];

cases.forEach(({ name, changes, withheld, quarantined }) =>
    test(`withheld requests: ${name}`, t => {
        const state = changes.reduce((before, change) => change(before), noSuspects);
        t.deepEqual(NAMES.filter(request => isWithheld(state, fingerprint(request))), withheld);
        t.deepEqual(
            NAMES.filter(request => quarantinedUntil(state, fingerprint(request), 0) !== undefined),
            quarantined,
        );
    })
);

test("withheld requests: a request whose try broke off is a suspect until its endpoint is known to be alive", t => {
    const state = brokeOff("a", "d1")(noSuspects);
    t.true(isSuspect(state, fingerprint("a")));
    t.false(isSuspect(checked("d1")(state), fingerprint("a")));
});

// Without this, the fingerprint of every request would be computed for ten minutes after a death without suspects.
test("withheld requests: no suspects are left once the last one is cleared", t => {
    const state = died("d1", ["a"], true)(noSuspects);
    t.true(hasSuspects(state));
    t.false(hasSuspects(completed("a")(state)));
});
