import { Incarnation } from "@azureshunt/core";
import { z } from "zod";

/** The message `AllowanceAskAnswer` of `peers.proto`. A declining answer sets no other field, and does not parse. */
const AskAnswerBody = z.object({
    declined: z.literal(false),
    seq: z.number(),
    run: Incarnation,
    extended: z.boolean(),
    granted: z.number().min(0),
    slot: z.number(),
    free: z.number().min(0),
    rate: z.number().min(0),
    elsewhere: z.number().min(0),
    unmet: z.number().min(0),
});
type AskAnswerBody = z.infer<typeof AskAnswerBody>;

export { AskAnswerBody };
