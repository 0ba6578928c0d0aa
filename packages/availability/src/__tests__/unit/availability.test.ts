import test from "ava";

import { availabilityAt } from "../../availabilityAt.js";
import { availabilityTiming } from "../../availabilityTiming.js";
import type { EndpointAvailability } from "../../EndpointAvailability.js";
import { initialAvailability } from "../../initialAvailability.js";
import { learnPause } from "../../learnPause.js";
import { pauseToTell } from "../../pauseToTell.js";
import { recordLeaving } from "../../recordLeaving.js";
import { recordRefusal } from "../../recordRefusal.js";
import { recordSent } from "../../recordSent.js";
import { recordServed } from "../../recordServed.js";
import { returnAfterMs } from "../../returnAfterMs.js";

type Step = (state: EndpointAvailability) => EndpointAvailability;
const refused = (at: number, retryAfterMs?: number, sentAt = at): Step => state =>
    recordRefusal(state, { sentAt, retryAfterMs }, at, 0);
const served = (sentAt: number): Step => state => recordServed(state, sentAt);
const sent = (at: number): Step => state => recordSent(state, at);
const leaves = (at: number): Step => state => recordLeaving(state, at);
const told = (at: number, pauseMs: number, isShared = false): Step => state =>
    learnPause(state, { pauseMs, isShared }, at, 0);

// Guards against an endpoint that gets requests although it has said that it wants none, or none although it does.
const cases:
    readonly (readonly [name: string, steps: readonly Step[], at: number, said: ReturnType<typeof availabilityAt>])[] =
        [
            ["nothing was said", [], 0, "available"],
            ["it leaves", [leaves(0)], 9_000_000, "leaving"],
            ["it leaves, and has served a request since", [leaves(0), served(1)], 9, "leaving"],
            ["it leaves, and asks for a pause", [leaves(0), refused(1, 3_000)], 9, "leaving"],
            ["it asks for 3 s", [refused(0, 3_000)], 2_999, "paused"],
            ["its pause has ended", [refused(0, 3_000)], 3_000, "available"],
            ["it asks for 0.2 s, the last refusal was long ago", [refused(0, 200)], 200, "available"],
            [
                "it asks for 0.2 s again and again",
                [refused(0, 200), refused(300, 200), refused(600, 200)],
                850,
                "avoided",
            ],
            ["a longer pause is followed by a shorter one", [refused(0, 3_000), refused(1_000, 200)], 2_999, "paused"],
            ["it serves a request within its pause", [refused(0, 3_000), served(1)], 2_000, "paused"],
            ["it asks for a day", [refused(0, 86_400_000)], availabilityTiming.maxPauseMs, "available"],
            ["it asks for no time", [refused(0)], 99, "avoided"],
            ["that was a while ago", [refused(0)], 100, "available"],
            ["it has refused three times", [refused(0), refused(100), refused(300)], 699, "avoided"],
            [
                "three requests that were under way at once",
                [refused(0), refused(5, undefined, -5), refused(6, undefined, -4)],
                100,
                "available",
            ],
            ["it serves a request after a refusal", [refused(0), served(1)], 2, "available"],
            ["it serves one that was sent before the refusal", [refused(5), served(4)], 6, "avoided"],
            ["a request is under way after its pause", [refused(0, 200), sent(200)], 250, "avoided"],
            ["a request is under way, and nothing was refused", [sent(0)], 1, "available"],
            ["a peer was told 3 s", [told(0, 3_000)], 2_999, "avoided"],
            ["a peer was told 3 s, and reaches it through this VM", [told(0, 3_000, true)], 2_999, "paused"],
            ["the peer's pause has ended", [told(0, 3_000)], 3_000, "available"],
            ["a peer was told an hour", [told(0, 3_600_000)], availabilityTiming.maxToldMs, "available"],
            ["a peer was told 3 s, and it has served a request since", [told(0, 3_000), served(1)], 2, "available"],
            ["the same pause comes by a detour", [told(0, 3_000), told(400, 3_000)], 3_000, "available"],
        ];
cases.forEach(([name, steps, at, said]) => {
    test(`availability: ${said} if ${name}`, t => {
        const state = steps.reduce((before, step) => step(before), initialAvailability(1));
        t.is(availabilityAt(state, at), said);
    });
});

// Guards against a pause that VMs tell each other for ever, and against one that nobody tells.
const tellings: readonly (readonly [name: string, steps: readonly Step[], at: number, ms: number])[] = [
    ["a pause of 3 s is told at once", [refused(0, 3_000)], 0, 3_000],
    ["with the time that is left", [refused(0, 3_000)], 900, 2_100],
    ["for a second", [refused(0, 3_000)], 1_000, 0],
    ["not if it ends before it arrives", [refused(0, 200)], 0, 0],
    ["that of a peer is passed on", [told(0, 3_000)], 100, 2_900],
    ["not if it comes back", [refused(0, 3_000), told(1_100, 2_000)], 1_100, 0],
    ["a refusal without a time is not", [refused(0)], 0, 0],
];
tellings.forEach(([name, steps, at, ms]) => {
    test(`availability: what is told: ${name}`, t => {
        t.is(pauseToTell(steps.reduce((before, step) => step(before), initialAvailability(1)), at), ms);
    });
});

// Guards against callers that return together, or less urgent ones first.
test("availability: refused callers return after the first pause, the urgent ones first", t => {
    const at = (isUrgent: boolean, random: number): number => returnAfterMs({ freeAt: 3_000, isUrgent, random }, 1_000);
    t.is(at(true, 0), 2_000);
    t.true(at(true, 0.99) <= at(false, 0));
    t.true(at(false, 0.99) < 2_000 + availabilityTiming.returnSpreadMs);
});
