import { EndpointName } from "@azureshunt/core";
import test from "ava";

import { clearSuspect } from "../../clearSuspect.js";
import { fingerprintOf } from "../../fingerprintOf.js";
import { hasSuspects } from "../../hasSuspects.js";
import { isHeld } from "../../isHeld.js";
import { isSuspect } from "../../isSuspect.js";
import { noSuspects } from "../../noSuspects.js";
import { noteBreak } from "../../noteBreak.js";
import { noteDeath } from "../../noteDeath.js";
import { quarantinedUntil } from "../../quarantinedUntil.js";
import type { RequestFingerprint } from "../../RequestFingerprint.js";
import { settleBreak } from "../../settleBreak.js";
import type { SuspectState } from "../../SuspectState.js";

const id = (name: string): RequestFingerprint => fingerprintOf([name]);

type Change = (state: SuspectState) => SuspectState;

const died = (death: string, running: readonly string[], complete: boolean): Change => state =>
    noteDeath(
        state,
        { death: { id: death, endpoint: EndpointName.parse("engine"), at: 0, running: running.map(id) }, complete },
        0,
    ).state;
const broke = (request: string, death: string): Change => state => noteBreak(state, id(request), death);
const settled = (death: string): Change => state => settleBreak(state, death);
const ranToItsEnd = (request: string): Change => state => clearSuspect(state, id(request));

type Case = {
    readonly name: string;
    readonly changes: readonly Change[];
    readonly held: readonly string[];
    readonly quarantined: readonly string[];
};

const NAMES = ["killer", "a"];

// A request that may crash endpoints runs on while VMs are slow to say what they ran, and brings down a third one.
const cases: readonly Case[] = [
    { name: "one death", changes: [died("d1", ["killer"], true)], held: [], quarantined: [] },
    {
        name: "two deaths, one VM unheard",
        changes: [died("d1", ["killer"], true), died("d2", ["killer"], false)],
        held: ["killer"],
        quarantined: [],
    },
    {
        name: "two deaths, the last VM answers late that it ran nothing there",
        changes: [died("d1", ["killer"], true), died("d2", ["killer"], false), died("d2", [], true)],
        held: [],
        quarantined: ["killer"],
    },
    {
        name: "two deaths, the last VM answers late that it ran another suspect there",
        changes: [died("d1", ["killer", "a"], true), died("d2", ["a"], false), died("d2", ["killer"], true)],
        held: ["killer", "a"],
        quarantined: [],
    },
    {
        name: "a late report does not accuse a request again that has run to its end",
        changes: [died("d1", ["killer", "a"], false), ranToItsEnd("a"), died("d1", ["a"], true)],
        held: [],
        quarantined: [],
    },
    {
        name: "one death and a try that broke off elsewhere",
        changes: [died("d1", ["killer"], true), broke("killer", "d2")],
        held: ["killer"],
        quarantined: [],
    },
    {
        name: "two tries that broke off, not judged yet",
        changes: [broke("killer", "d1"), broke("killer", "d2")],
        held: ["killer"],
        quarantined: [],
    },
    {
        name: "a try that broke off with a death that another VM has told of",
        changes: [died("d1", ["killer"], true), broke("killer", "d1")],
        held: [],
        quarantined: [],
    },
    {
        name: "two tries that broke off, one endpoint lives",
        changes: [broke("killer", "d1"), broke("killer", "d2"), settled("d2")],
        held: [],
        quarantined: [],
    },
];

cases.forEach(({ name, changes, held, quarantined }) =>
    test(`held requests: ${name}`, t => {
        const state = changes.reduce((before, change) => change(before), noSuspects);
        t.deepEqual(NAMES.filter(request => isHeld(state, id(request))), held);
        t.deepEqual(NAMES.filter(request => quarantinedUntil(state, id(request), 0) !== undefined), quarantined);
    })
);

test("held requests: one whose try broke off is a suspect until its endpoint is known to live", t => {
    const state = broke("a", "d1")(noSuspects);
    t.true(isSuspect(state, id("a")));
    t.false(isSuspect(settled("d1")(state), id("a")));
});

// Every request is digested for ten minutes after a death, though nobody is suspected any more.
test("held requests: with the last suspect cleared there is none", t => {
    const state = died("d1", ["a"], true)(noSuspects);
    t.true(hasSuspects(state));
    t.false(hasSuspects(ranToItsEnd("a")(state)));
});
