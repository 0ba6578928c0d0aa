import type { ReleaseNote } from "./ReleaseNote.js";

/** Returns the data of the log record of a release note. */
export function releaseRecord(note: ReleaseNote): object {
    return { kind: "release", note };
}
