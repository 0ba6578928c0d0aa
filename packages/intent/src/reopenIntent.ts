import type { OwnIntent } from "./OwnIntent.js";

/**
 * Takes an intent back to before its begin, after a try that surely did not run the request: no byte reached the endpoint,
 * or the endpoint refused it before running.
 */
export function reopenIntent(own: OwnIntent): OwnIntent | undefined {
    return own.phase === "begun" ? { ...own, phase: "open" } : undefined;
}
