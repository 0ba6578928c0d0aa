import { type Either, Left, Right } from "purify-ts";

import { checkNote } from "./checkNote.js";
import type { LocatedFault } from "./LocatedFault.js";
import type { ParsedDocument } from "./ParsedDocument.js";
import { parseDocument } from "./parseDocument.js";
import { ReleaseNote } from "./ReleaseNote.js";
import { sortFaults } from "./sortFaults.js";

/**
 * Reads a release note from YAML or JSON. Faults of its shape come all at once; when its shape is right, all faults
 * that show without knowing the configuration.
 *
 * @param text the note
 */
export function parseReleaseNote(text: string): Either<readonly LocatedFault[], ParsedDocument<ReleaseNote>> {
    return parseDocument(ReleaseNote, text).chain(parsed => {
        const faults = checkNote(parsed.value);
        return faults.length === 0 ? Right(parsed) : Left(sortFaults(faults.map(parsed.locate)));
    });
}
