import type { EndpointName, VmId } from "@azureshunt/core";
import { RequestFingerprint } from "@azureshunt/request";
import { z } from "zod";

import { parseAnswer } from "../peers/parseAnswer.js";
import type { DaemonContext } from "../ports/DaemonContext.js";

const AnswerBody = z.object({ running: z.array(RequestFingerprint).default([]) });

/** A query of VMs about a death. */
type DeathQuery = {
    readonly id: string;
    readonly endpoint: EndpointName;
    readonly vms: readonly VmId[];
    /** For the answer of each VM. */
    readonly timeoutMs: number;
};

/** What the VMs that answered ran there, and which VMs did not answer. */
type DeathAnswers = {
    readonly running: readonly RequestFingerprint[];
    readonly silent: readonly VmId[];
};

/** Queries VMs for what they ran on an endpoint when it died. */
export async function gatherDeath(ctx: DaemonContext, query: DeathQuery): Promise<DeathAnswers> {
    const { id, endpoint, vms, timeoutMs } = query;
    const answers = await Promise.all(vms.map(async vm => {
        const answer = await ctx.peers.exchange(vm, "endpointDeath", { id, endpoint }, timeoutMs);
        return { vm, running: parseAnswer(AnswerBody, answer).map(({ running }) => running) };
    }));
    return {
        running: answers.flatMap(({ running }) => running.orDefault([])),
        silent: answers.filter(({ running }) => running.isLeft()).map(({ vm }) => vm),
    };
}
