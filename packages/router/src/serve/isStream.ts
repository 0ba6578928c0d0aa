import type { RequestKind } from "../configuration/RequestKind.js";

/** Returns whether requests of a kind are answered by a stream of events. */
export function isStream(kind: RequestKind): boolean {
    return kind === "stream" || kind === "resumable-stream";
}
