import type { RequestKind } from "../configuration/RequestKind.js";

/** Returns whether requests of a kind may run more than once. */
export function isRepeatable(kind: RequestKind): boolean {
    return kind === "idempotent" || kind === "resumable-stream";
}
