import { z } from "zod";

import { NoteItems } from "./NoteItems.js";
import { WithdrawnItems } from "./WithdrawnItems.js";

const MAX_NOTE_LENGTH = 2_000;

/** One change of the configuration by an operator. It takes effect as a whole or not at all. */
const ReleaseNote = z.strictObject({
    /** What the change is for, in the operator's words. */
    note: z.string().min(1).max(MAX_NOTE_LENGTH),
    /** Revision that the note was written against. With it, the note is refused once anything else was accepted. */
    base: z.number().int().min(0).optional(),
    added: NoteItems.default({}),
    changed: NoteItems.default({}),
    withdrawn: WithdrawnItems.default({}),
});
type ReleaseNote = z.infer<typeof ReleaseNote>;

export { ReleaseNote };
