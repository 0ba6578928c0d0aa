import { z } from "zod";

const Answer = z.object({
    status: z.number().int(),
    contentType: z.string().optional(),
    body: z.string(),
});

/**
 * How a request ended. `answered`: it ran and returned this answer. `unkept`: it ran, but its answer was too large to
 * store. `unknown`: it may have run.
 */
const IntentOutcome = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("answered"), answer: Answer }),
    z.object({ kind: z.literal("unkept") }),
    z.object({ kind: z.literal("unknown") }),
]);
type IntentOutcome = z.infer<typeof IntentOutcome>;

export { IntentOutcome };
