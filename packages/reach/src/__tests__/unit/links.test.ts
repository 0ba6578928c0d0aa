import { FailureDomain, ServiceName } from "@azureshunt/core";
import test from "ava";

import { allEndpoints } from "../../allEndpoints.js";
import { domainGroup } from "../../domainGroup.js";
import { headStartMs } from "../../headStartMs.js";
import { initialLinks } from "../../initialLinks.js";
import { isBlocked } from "../../isBlocked.js";
import { isCutOff } from "../../isCutOff.js";
import { isLost } from "../../isLost.js";
import type { LinkEvent } from "../../LinkEvent.js";
import { serviceGroup } from "../../serviceGroup.js";
import { stepLinks } from "../../stepLinks.js";
import { targetOf } from "../support/targetOf.js";

const A = "lm a 10.0.0.1:80";
const B = "lm b 10.0.0.2:80";
const C = "lm c 10.0.0.3:80";
const D = "lm d 10.0.0.4:80";
const E1 = "lm e 10.0.0.5:80";
const E2 = "lm e 10.0.0.6:80";
const E3 = "lm e 10.0.0.7:80";
const E4 = "lm e 10.0.0.8:80";
const DESK = "desk a 10.0.0.9:80";
const all = [A, B, C, D, E1, E2, E3, E4, DESK];

type Case = {
    readonly name: string;
    /** Endpoint, what happened, and time in milliseconds. */
    readonly events: readonly (readonly [string, LinkEvent["kind"], number])[];
    readonly at: number;
    /** Whether the VM counts as cut off from all endpoints, from those of service `lm`, and from those of `lm` in domain `e`. */
    readonly cutOff: readonly ("all" | "lm" | "e")[];
    /** Endpoints whose own links count as blocked. */
    readonly blocked: readonly string[];
    /** Those of them that are not worth a try for a peer; the same ones if omitted. */
    readonly lost?: readonly string[];
    /** Head starts of the own links to these, in milliseconds, if they differ from that of a cut off link, 0. */
    readonly headStart?: number;
};

const lm = all.filter(each => each !== DESK);
const cases: readonly Case[] = [
    { name: "no connection yet", events: [], at: 0, cutOff: [], blocked: [] },
    { name: "all own links open", events: [[A, "opened", 0], [B, "opened", 1]], at: 2, cutOff: [], blocked: [] },
    {
        name: "one endpoint is reached by peers only",
        events: [[B, "opened", 0], [A, "bypassed", 1], [A, "bypassed", 2]],
        at: 3,
        cutOff: [],
        blocked: [A],
        headStart: 10,
    },
    {
        name: "three endpoints are reached by peers only, and no own link has opened for a while",
        events: [[D, "opened", 0], [A, "bypassed", 1], [B, "bypassed", 2], [C, "bypassed", 3]],
        at: 250,
        cutOff: ["all", "lm"],
        blocked: all,
    },
    {
        name: "three endpoints are reached by peers only, but an own link has just opened",
        events: [[D, "opened", 0], [A, "bypassed", 1], [B, "bypassed", 2], [C, "bypassed", 3]],
        at: 249,
        cutOff: [],
        blocked: [A, B, C],
        headStart: 10,
    },
    {
        name: "some links are lost while others open",
        events: [[A, "bypassed", 1], [B, "bypassed", 2], [C, "bypassed", 3], [D, "opened", 4], [A, "bypassed", 5]],
        at: 500,
        cutOff: [],
        blocked: [A, B, C],
        lost: [A],
        headStart: 10,
    },
    {
        name: "an own link opens again",
        events: [[A, "bypassed", 1], [B, "bypassed", 2], [A, "opened", 3]],
        at: 4,
        cutOff: [],
        blocked: [B],
        lost: [],
        headStart: 10,
    },
    {
        name: "nothing was opened for long after the links were lost",
        events: [[A, "bypassed", 1], [B, "bypassed", 2], [C, "bypassed", 2]],
        at: 10_002,
        cutOff: [],
        blocked: [],
    },
    {
        name: "the links to one service are lost while one to another service opens",
        events: [[A, "bypassed", 1], [B, "bypassed", 2], [C, "bypassed", 3], [DESK, "opened", 4]],
        at: 500,
        cutOff: ["lm"],
        blocked: lm,
    },
    {
        name: "the links to one service are lost while another service answers on a kept connection",
        events: [[A, "bypassed", 1], [B, "bypassed", 2], [C, "bypassed", 3], [DESK, "answered", 4]],
        at: 500,
        cutOff: ["lm"],
        blocked: lm,
    },
    {
        name: "new connections fail while the same service answers on a kept one",
        events: [[A, "bypassed", 1], [B, "bypassed", 2], [C, "bypassed", 3], [A, "answered", 4]],
        at: 500,
        cutOff: ["all", "lm"],
        blocked: all,
    },
    {
        name: "the links to one failure domain are lost",
        events: [[E1, "bypassed", 1], [E2, "bypassed", 2], [E3, "bypassed", 3], [A, "opened", 4]],
        at: 500,
        cutOff: ["e"],
        blocked: [E1, E2, E3, E4],
    },
    {
        name: "no peer can help, and nothing answers",
        events: [[A, "failed", 1], [B, "failed", 2], [C, "failed", 3]],
        at: 500,
        cutOff: ["all", "lm"],
        blocked: all,
    },
    {
        name: "three endpoints are dead while others of their service answer",
        events: [[A, "failed", 1], [B, "failed", 2], [C, "failed", 3], [D, "answered", 4]],
        at: 500,
        cutOff: [],
        blocked: [],
    },
    {
        name: "three endpoints are dead, and all others are busy with answers that began before",
        events: [[A, "answered", 0], [A, "failed", 1], [B, "failed", 2]],
        at: 500,
        cutOff: [],
        blocked: [],
    },
];

const groups = [["all", allEndpoints], ["lm", serviceGroup(ServiceName.parse("lm"))], [
    "e",
    domainGroup(ServiceName.parse("lm"), FailureDomain.parse("e")),
]] as const;

cases.forEach(({ name, events, at, cutOff, blocked, lost = blocked, headStart = 0 }) => {
    test(`links: ${name}`, t => {
        const state = events.reduce(
            (before, [text, kind, now]) => stepLinks(before, { kind, target: targetOf(text) }, now),
            initialLinks,
        );
        t.deepEqual(groups.filter(([, group]) => isCutOff(state, group, at)).map(([each]) => each), [...cutOff]);
        t.deepEqual(all.filter(text => isBlocked(state, targetOf(text), at)), [...blocked]);
        t.deepEqual(all.filter(text => isLost(state, targetOf(text), at)), [...lost]);
        t.deepEqual(
            all.map(text => headStartMs(state, targetOf(text), at)),
            all.map(text => blocked.includes(text) ? headStart : 40),
        );
    });
});
