import type { ReleaseNote } from "./ReleaseNote.js";

/** Data of the log record that carries a release note. */
export function releaseRecord(note: ReleaseNote): object {
    return { kind: "release", note };
}
