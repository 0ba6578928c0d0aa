import type { FailureDomain, VmId } from "@azureshunt/core";

import type { GossipMessage } from "../configuration/GossipMessage.js";
import { gossipOf } from "../configuration/gossipOf.js";
import type { AdminParts } from "./AdminParts.js";

const TIMEOUT_MS = 1_000;

/** The revision that one VM has in force, as it said just now. */
type VmStatus = {
    readonly vm: VmId;
    readonly failureDomain: FailureDomain;
    readonly state: "live" | "leaving";
    /** Undefined when it did not answer. */
    readonly revision: number | undefined;
    /** Milliseconds since the log confirmed it there; undefined when it never did. */
    readonly confirmedMsAgo: number | undefined;
};

/** Asks all VMs at once which revision they have in force. */
export async function fleetStatus({ ctx, release }: AdminParts): Promise<readonly VmStatus[]> {
    const own = { ...gossipOf(release.reader(), ctx.clock.now()), wantsSnapshot: false };
    const answerOf = async (vm: VmId): Promise<GossipMessage | undefined> => {
        if (vm === ctx.settings.vm) {
            return own;
        }
        const answer = await ctx.peers.exchange(vm, "gossip", own, TIMEOUT_MS);
        return answer.map(body => body as GossipMessage).toMaybe().extract();
    };
    return await Promise.all(
        ctx.membership.members().map(async ({ vm, failureDomain, state }) => {
            const answer = await answerOf(vm);
            const within = answer?.confirmedWithinMs ?? 0;
            return {
                vm,
                failureDomain,
                state,
                revision: answer?.revision,
                confirmedMsAgo: within > 0 ? within : undefined,
            };
        }),
    );
}
