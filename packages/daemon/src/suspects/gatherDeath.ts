import type { EndpointName, VmId } from "@azureshunt/core";
import { RequestFingerprint } from "@azureshunt/request";
import { z } from "zod";

import type { DaemonContext } from "../ports/DaemonContext.js";

const Answer = z.object({ running: z.array(RequestFingerprint).default([]) });

/** What VMs were asked about a death. */
type DeathQuestion = {
    readonly id: string;
    readonly endpoint: EndpointName;
    readonly vms: readonly VmId[];
    readonly boundMs: number;
};

/** What those that answered ran there, and who did not answer. */
type DeathAnswers = {
    readonly running: readonly RequestFingerprint[];
    readonly unheard: readonly VmId[];
};

/** Asks VMs what they ran on an endpoint when it died. */
export async function gatherDeath(ctx: DaemonContext, question: DeathQuestion): Promise<DeathAnswers> {
    const { id, endpoint, vms, boundMs } = question;
    const answers = await Promise.all(vms.map(async vm => {
        const answer = await ctx.peers.exchange(vm, "endpointDeath", { id, endpoint }, boundMs);
        return { vm, running: answer.map(body => Answer.parse(body).running) };
    }));
    return {
        running: answers.flatMap(({ running }) => running.orDefault([])),
        unheard: answers.filter(({ running }) => running.isLeft()).map(({ vm }) => vm),
    };
}
