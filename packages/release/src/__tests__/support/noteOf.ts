import { ReleaseNote } from "../../ReleaseNote.js";

/** Builds a valid note from the given fields. */
export function noteOf(parts: object): ReleaseNote {
    return ReleaseNote.parse({ note: "test", ...parts });
}
