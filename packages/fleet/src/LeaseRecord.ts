import { Incarnation, VmId } from "@azureshunt/core";
import { z } from "zod";

/**
 * A record of a failure domain's lease stream. It counts only when it lies right behind the record that its writer
 * knew as the last one, so of several writers that knew the same one only the first counts.
 */
const LeaseRecord = z.object({
    kind: z.enum(["claim", "renew"]),
    vm: VmId,
    incarnation: Incarnation,
    /** Offset of the last record that the writer knew; −1 before the first. */
    after: z.number().int().min(-1),
    /** Offset of the claim that is renewed. */
    fencing: z.number().int().min(0).optional(),
});
type LeaseRecord = z.infer<typeof LeaseRecord>;

export { LeaseRecord };
