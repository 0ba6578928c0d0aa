import type { OwnIntent } from "./OwnIntent.js";

/**
 * Withdraws an intent of whose request no byte has been sent. Must be called before the withdrawal is appended to the
 * log, so that the request never begins after its key may have been freed.
 *
 * @returns `undefined` if the request has begun or ended
 */
export function withdrawIntent(own: OwnIntent): OwnIntent | undefined {
    return own.phase === "open" || own.phase === "withdrawn" ? { ...own, phase: "withdrawn" } : undefined;
}
