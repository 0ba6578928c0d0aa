import { OrganisationId } from "@azureshunt/core";
import { z } from "zod";

/** Buckets that a former home hands over: `HandOverAnswer` and `HandOverPush` of `peers.proto`. */
const HandedBody = z.object({
    ageMs: z.number(),
    buckets: z.array(z.object({
        organisation: OrganisationId,
        balance: z.number(),
        outstanding: z.number().min(0),
        lapsesIn: z.number().min(0),
    })),
});
type HandedBody = z.infer<typeof HandedBody>;

export { HandedBody };
