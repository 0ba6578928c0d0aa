import type { OwnIntent } from "./OwnIntent.js";

/**
 * Reopens an intent that has begun, after a try that certainly did not run the request: no byte reached the endpoint,
 * or the endpoint refused the request before running it.
 *
 * @returns `undefined` if the intent had not begun
 */
export function reopenIntent(own: OwnIntent): OwnIntent | undefined {
    return own.phase === "begun" ? { ...own, phase: "open" } : undefined;
}
