import { z } from "zod";

const Accepted = z.object({ kind: z.literal("accepted"), revision: z.number().int().positive() });

const Conflict = z.object({
    kind: z.literal("conflict"),
    /** Revision that the note was written against. */
    base: z.number().int(),
    /** Revision at the note's place in the log. */
    revision: z.number().int(),
    /** What was changed meanwhile, such as `model llama`. */
    changed: z.array(z.string()),
});

const Invalid = z.object({
    kind: z.literal("invalid"),
    /** One line a fault; the first few. */
    faults: z.array(z.string()),
});

/** What became of a release note that was appended to the log. The same on every VM. */
const Verdict = z.discriminatedUnion("kind", [Accepted, Conflict, Invalid]);
type Verdict = z.infer<typeof Verdict>;

export { Verdict };
