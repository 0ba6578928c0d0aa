import { ReleaseNote } from "../../ReleaseNote.js";

/** Builds a note for tests from the parts that matter. */
export function noteOf(parts: object): ReleaseNote {
    return ReleaseNote.parse({ note: "test", ...parts });
}
