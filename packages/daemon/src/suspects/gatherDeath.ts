import type { EndpointName } from "@azureshunt/core";
import { RequestFingerprint } from "@azureshunt/request";
import type { DeathReport } from "@azureshunt/request";
import { z } from "zod";

import type { DaemonContext } from "../ports/DaemonContext.js";

const ASK_BOUND_MS = 2_000;

const Answer = z.object({ running: z.array(RequestFingerprint).default([]) });

/** Asks all VMs what they ran on an endpoint when it died. */
export async function gatherDeath(
    ctx: DaemonContext,
    id: string,
    endpoint: EndpointName,
    running: readonly RequestFingerprint[],
): Promise<DeathReport> {
    const answers = await Promise.all(
        ctx.peers.peers().map(peer =>
            ctx.peers.exchange(peer.vm, "endpointDeath", { id, endpoint, running }, ASK_BOUND_MS)
        ),
    );
    const told = answers.map(answer => answer.map(body => Answer.parse(body).running));
    const all = [...running, ...told.flatMap(answer => answer.orDefault([]))];
    return {
        death: { id, endpoint, at: ctx.clock.now(), running: [...new Set(all)] },
        // A daemon that has just started may not know its peers yet.
        complete: told.length > 0 && told.every(answer => answer.isRight()),
    };
}
