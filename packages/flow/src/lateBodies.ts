import type { Millis } from "@azureshunt/core";

import type { WaitingBody } from "./WaitingBody.js";

/**
 * Part of the time of the bodies ahead that counts. A refused body is read as well, to be discarded, so that refusing one
 * that could still be served costs as much as serving it.
 */
const AHEAD_FRACTION = 0.25;

type LateQuery = {
    /** What is reserved for the bodies that are read or served now. */
    readonly reservedBytes: number;
    /** At which rate reserved bytes become free; `undefined` if it is not known. */
    readonly bytesPerMs: number | undefined;
    readonly now: Millis;
};

/**
 * Returns the bodies that cannot be read and served before their deadlines. They would take the time of those that can.
 *
 * @param waiting in the order in which they are read
 */
export function lateBodies<Body extends WaitingBody>(
    waiting: readonly Body[],
    { reservedBytes, bytesPerMs, now }: LateQuery,
): readonly Body[] {
    const state = { ahead: 0 };
    return waiting.filter(({ bytes, deadline }) => {
        const endsInMs = bytesPerMs === undefined
            ? 0
            : (reservedBytes + bytes + AHEAD_FRACTION * state.ahead) / bytesPerMs;
        const isLate = now + endsInMs >= deadline;
        state.ahead += isLate ? 0 : bytes;
        return isLate;
    });
}
