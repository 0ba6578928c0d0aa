import type { Incarnation } from "@azureshunt/core";
import { IntentOutcome } from "@azureshunt/intent";
import type { IntentEntry, OwnerReply } from "@azureshunt/intent";
import { z } from "zod";

import type { DaemonContext } from "../ports/DaemonContext.js";

const QUERY_TIMEOUT_MS = 500;

const Reply = z.object({
    incarnation: z.string(),
    phase: z.enum(["running", "withdrawn", "ended", "absent"]),
    outcome: z.string().default(""),
});

const outcomeOf = (json: string): IntentOutcome | undefined =>
    json === "" ? undefined : IntentOutcome.parse(JSON.parse(json));

/** Queries the VM that wrote an intent for the intent's state. Returns undefined if no answer arrives in time. */
export async function queryOwner(ctx: DaemonContext, entry: IntentEntry): Promise<OwnerReply | undefined> {
    const answer = await ctx.peers.exchange(entry.vm, "intent", { intentId: entry.intentId }, QUERY_TIMEOUT_MS);
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
