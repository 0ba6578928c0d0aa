import type { VmId } from "@azureshunt/core";

import { AskBody } from "./AskBody.js";
import type { createAllowanceStore } from "./createAllowanceStore.js";
import type { OrganisationEntry } from "./OrganisationEntry.js";

/** What the event just told has answered. */
const answerBy = (entry: OrganisationEntry): OrganisationEntry["answer"] => entry.answer;

/** Answers another VM's ask for tokens with the body of `AllowanceAskAnswer`. */
export function handleAsk(store: ReturnType<typeof createAllowanceStore>, body: object, from: VmId): object {
    const ask = AskBody.safeParse(body);
    const entry = ask.success ? store.open(ask.data.organisation) : undefined;
    if (!ask.success || entry === undefined) {
        return { declined: true };
    }
    entry.answer = undefined;
    store.tell(entry, { kind: "ask", from, ask: { ...ask.data, home: ask.data.home } });
    const answer = answerBy(entry);
    return answer === undefined ? { declined: true } : { declined: false, ...answer };
}
