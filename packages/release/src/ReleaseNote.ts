import { z } from "zod";

import { NoteItems } from "./NoteItems.js";
import { WithdrawnItems } from "./WithdrawnItems.js";

const MAX_NOTE_LENGTH = 2_000;

/** One change of the configuration by an operator. It takes effect completely or not at all. */
const ReleaseNote = z.strictObject({
    /** The operator's description of the purpose of the change. */
    note: z.string().min(1).max(MAX_NOTE_LENGTH),
    /** Revision that the note was written against. If given, the note is refused if another was accepted since. */
    base: z.number().int().min(0).optional(),
    added: NoteItems.default({}),
    changed: NoteItems.default({}),
    withdrawn: WithdrawnItems.default({}),
});
type ReleaseNote = z.infer<typeof ReleaseNote>;

export { ReleaseNote };
