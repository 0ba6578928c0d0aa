import type { AllowanceEvent } from "@azureshunt/allowance";
import { timing } from "@azureshunt/allowance";

import type { DaemonContext } from "../ports/DaemonContext.js";
import type { AllowanceMessage } from "./AllowanceMessage.js";
import { AskAnswerBody } from "./AskAnswerBody.js";

type Ask = Extract<AllowanceMessage, { readonly kind: "ask"; }>;

/**
 * Sends an ask for tokens to a home and returns the event for its answer. An answer that does not come, declines or
 * does not parse grants nothing: the next ask voids the tokens in it, if any.
 */
export async function exchangeAsk(ctx: DaemonContext, message: Ask): Promise<AllowanceEvent> {
    const { organisation, to, ask } = message;
    const body = { organisation, ...ask, home: ask.home ?? "" };
    const answered = await ctx.peers.exchange(to, "allowanceAsk", body, timing.askTimeoutMs);
    const answer = answered.toMaybe().chainNullable(found => {
        const parsed = AskAnswerBody.safeParse(found);
        return parsed.success ? parsed.data : undefined;
    });
    ctx.metrics.count("azureshunt_allowance_asks_total", "Asks for tokens sent to homes, by outcome.", {
        outcome: answer.isJust() ? "answered" : answered.isRight() ? "declined" : "unanswered",
    });
    return answer.caseOf<AllowanceEvent>({
        Just: found => ({ kind: "answer", from: to, answer: found }),
        Nothing: () => ({ kind: answered.isRight() ? "declined" : "unanswered", from: to, seq: ask.seq }),
    });
}
