import { Incarnation, OrganisationId } from "@azureshunt/core";
import { z } from "zod";

/** The message `AllowanceAsk` of `peers.proto`. */
const AskBody = z.object({
    organisation: OrganisationId,
    run: Incarnation,
    home: z.string().transform(home => home === "" ? undefined : Incarnation.parse(home)),
    seq: z.number(),
    applied: z.number(),
    held: z.number().min(0),
    giveBack: z.number().min(0),
    need: z.number().min(0),
    waitedMs: z.number().min(0),
    ahead: z.number().min(0),
    refunds: z.array(z.object({ slot: z.number(), tokens: z.number().min(0) })),
});
type AskBody = z.infer<typeof AskBody>;

export { AskBody };
