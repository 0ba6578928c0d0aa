import { Incarnation, VmId } from "@azureshunt/core";
import { z } from "zod";

/**
 * A record of a failure domain's lease stream. It is valid only directly after the last record that its writer knew, so
 * of several writers that knew the same last record only the first one succeeds.
 */
const LeaseRecord = z.object({
    kind: z.enum(["claim", "renew"]),
    vm: VmId,
    incarnation: Incarnation,
    /** Offset of the last record that the writer knew; -1 if there was none. */
    after: z.number().int().min(-1),
    /** Offset of the renewed claim. */
    fencing: z.number().int().min(0).optional(),
});
type LeaseRecord = z.infer<typeof LeaseRecord>;

export { LeaseRecord };
