import { FailureDomain, Incarnation, VmId } from "@azureshunt/core";
import { z } from "zod";

/**
 * A record of the log stream `membership`. `join`: an incarnation of a daemon runs; repeated before the record expires.
 * `leave`: it stopped gracefully and handed its buckets over. `drop`: another VM saw that the platform no longer lists
 * it.
 */
const MembershipRecord = z.object({
    kind: z.enum(["join", "leave", "drop"]),
    vm: VmId,
    run: Incarnation,
    failureDomain: FailureDomain,
    /** Address of the peer listener. */
    peer: z.string(),
    /** Address of the administration listener. */
    admin: z.string(),
});
type MembershipRecord = z.infer<typeof MembershipRecord>;

export { MembershipRecord };
