import { z } from "zod";

const Accepted = z.object({ kind: z.literal("accepted"), revision: z.number().int().positive() });

const Conflict = z.object({
    kind: z.literal("conflict"),
    /** Revision that the note was written against. */
    base: z.number().int(),
    /** Revision at the note's offset in the log. */
    revision: z.number().int(),
    /** Items changed since `base`, such as `changed model llama`. */
    changed: z.array(z.string()),
});

const Invalid = z.object({
    kind: z.literal("invalid"),
    /** One line per fault; only the first ones. */
    faults: z.array(z.string()),
});

/** Whether a release note in the log was accepted, and if not, why. The same on every VM. */
const Verdict = z.discriminatedUnion("kind", [Accepted, Conflict, Invalid]);
type Verdict = z.infer<typeof Verdict>;

export { Verdict };
