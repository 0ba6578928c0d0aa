import type { Millis } from "@azureshunt/core";

import type { Candidate } from "./Candidate.js";
import { choosePlace } from "./choosePlace.js";

type Choice = {
    /** Endpoints without a limit. */
    readonly unlimited: readonly Candidate[];
    /** Limited endpoints where this VM has a turn. */
    readonly turns: readonly Candidate[];
    /** How much later than elsewhere an answer may start at a limited endpoint. */
    readonly toleranceMs: Millis;
};

/**
 * Chooses an endpoint, a limited one if its turn is worth using: its few answers show whether the limit still holds, and
 * what it takes relieves the others.
 *
 * @returns undefined if no endpoint may get the request
 */
export function choosePlaceOrTurn(
    { unlimited, turns, toleranceMs }: Choice,
    now: Millis,
    random: () => number,
): ReturnType<typeof choosePlace> {
    const isSound = ({ health, silentMs, domainSilentMs }: Candidate): boolean =>
        health.backoffUntil <= now && silentMs === 0 && domainSilentMs === 0;
    const best = choosePlace(unlimited, now, random);
    if (best === undefined) {
        return choosePlace(turns, now, random);
    }
    const turn = choosePlace(turns.filter(isSound), now, random);
    return turn !== undefined && turn.startMs <= best.startMs + toleranceMs ? turn : best;
}
