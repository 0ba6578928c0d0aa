import type { Incarnation } from "@azureshunt/core";
import { IntentOutcome } from "@azureshunt/intent";
import type { IntentEntry, OwnerReply } from "@azureshunt/intent";
import { z } from "zod";

import type { DaemonContext } from "../ports/DaemonContext.js";

const ASK_BOUND_MS = 500;

const Reply = z.object({
    incarnation: z.string(),
    phase: z.enum(["running", "withdrawn", "ended", "absent"]),
    outcome: z.string().default(""),
});

const outcomeOf = (json: string): IntentOutcome | undefined =>
    json === "" ? undefined : IntentOutcome.parse(JSON.parse(json));

/** Asks the VM that wrote an intent what became of it. Undefined when no answer comes in time. */
export async function askOwner(ctx: DaemonContext, entry: IntentEntry): Promise<OwnerReply | undefined> {
    const answer = await ctx.peers.exchange(entry.vm, "intent", { intentId: entry.intentId }, ASK_BOUND_MS);
    return answer
        .map(body => Reply.safeParse(body))
        .map(parsed =>
            parsed.success
                ? {
                    incarnation: parsed.data.incarnation as Incarnation,
                    phase: parsed.data.phase,
                    outcome: outcomeOf(parsed.data.outcome),
                }
                : undefined
        )
        .orDefault(undefined);
}
