import type { FailureDomain, VmId } from "@azureshunt/core";

import type { GossipMessage } from "../configuration/GossipMessage.js";
import { gossipOf } from "../configuration/gossipOf.js";
import type { AdminParts } from "./AdminParts.js";

const TIMEOUT_MS = 1_000;

/** The revision in force on one VM, as queried for this call. */
type VmStatus = {
    readonly vm: VmId;
    readonly failureDomain: FailureDomain;
    readonly state: "live" | "leaving";
    /** `undefined` if the VM did not answer. */
    readonly revision: number | undefined;
    /** Milliseconds since the log last confirmed it to that VM as the newest; `undefined` if it never did. */
    readonly confirmedMsAgo: number | undefined;
};

/** Queries all VMs in parallel for the revision that they have in force. */
export async function vmStatuses({ ctx, release }: AdminParts): Promise<readonly VmStatus[]> {
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
            const confirmedWithinMs = answer?.confirmedWithinMs ?? 0;
            return {
                vm,
                failureDomain,
                state,
                revision: answer?.revision,
                confirmedMsAgo: confirmedWithinMs > 0 ? confirmedWithinMs : undefined,
            };
        }),
    );
}
