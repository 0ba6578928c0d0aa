import { type Either, Left, Right } from "purify-ts";

import { checkNote } from "./checkNote.js";
import type { LocatedFault } from "./LocatedFault.js";
import type { ParsedDocument } from "./ParsedDocument.js";
import { parseDocument } from "./parseDocument.js";
import { ReleaseNote } from "./ReleaseNote.js";
import { sortFaults } from "./sortFaults.js";

/**
 * Parses a release note from YAML or JSON.
 *
 * @returns the note, or all faults against the schema, or, if there are none, all faults that can be found without the
 *     configuration
 */
export function parseReleaseNote(text: string): Either<readonly LocatedFault[], ParsedDocument<ReleaseNote>> {
    return parseDocument(ReleaseNote, text).chain(parsed => {
        const faults = checkNote(parsed.value);
        return faults.length === 0 ? Right(parsed) : Left(sortFaults(faults.map(parsed.locate)));
    });
}
