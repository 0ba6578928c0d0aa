import type { OwnIntent } from "./OwnIntent.js";

/**
 * Gives an intent up of which no byte has gone out. To be done before the record of it is written, so that a request
 * never begins after its key may have been freed.
 *
 * @returns undefined when the request has begun
 */
export function withdrawIntent(own: OwnIntent): OwnIntent | undefined {
    return own.phase === "open" || own.phase === "withdrawn" ? { ...own, phase: "withdrawn" } : undefined;
}
