import { FailureDomain, Incarnation, VmId } from "@azureshunt/core";
import { z } from "zod";

/**
 * A record of the log stream `membership`. `join`: the run of a daemon is there; repeated before it expires. `leave`: it
 * stopped gracefully and handed its buckets over. `drop`: some VM saw that the platform lists this VM no longer.
 */
const MembershipRecord = z.object({
    kind: z.enum(["join", "leave", "drop"]),
    vm: VmId,
    run: Incarnation,
    failureDomain: FailureDomain,
    /** Addresses of the peer and the administration listener. */
    peer: z.string(),
    admin: z.string(),
});
type MembershipRecord = z.infer<typeof MembershipRecord>;

export { MembershipRecord };
