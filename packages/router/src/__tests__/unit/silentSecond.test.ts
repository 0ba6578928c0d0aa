import test from "ava";

import { choosePlace } from "../../placement/choosePlace.js";
import { healthAfterTry } from "../../placement/healthAfterTry.js";
import { initialHealth } from "../../placement/initialHealth.js";
import { candidateOf } from "../support/candidateOf.js";

/** Longer than the backoff after a silent try. */
const LATER_MS = 300;

type Case = {
    readonly name: string;
    /** Whether the endpoint sent something to this VM during each silent try. */
    readonly wasActive: readonly boolean[];
    readonly isUsedAfter: boolean;
};

// A sound endpoint that was silent for a second would get no requests long after, and the others all its load.
const cases: readonly Case[] = [
    {
        name: "was silent to all for a second is used again after its backoff",
        wasActive: [false, false],
        isUsedAfter: true,
    },
    { name: "answers other requests but not some is avoided", wasActive: [true, true], isUsedAfter: false },
];

cases.forEach(({ name, wasActive, isUsedAfter }) => {
    test(`silent endpoint: one that ${name}`, t => {
        const health = wasActive.reduce(
            (before, active, i) => healthAfterTry(before, "silent", i * LATER_MS, active),
            initialHealth,
        );
        const candidates = [candidateOf("silent", { health }), candidateOf("busy", { running: 9 })];
        const lastTryAt = (wasActive.length - 1) * LATER_MS;
        const placeAt = (now: number) => choosePlace(candidates, now, () => 0)?.candidate.name as string | undefined;
        t.is(placeAt(lastTryAt + 1), "busy");
        t.is(placeAt(lastTryAt + LATER_MS), isUsedAfter ? "silent" : "busy");
    });
});
