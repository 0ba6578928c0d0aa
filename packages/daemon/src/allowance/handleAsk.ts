import type { VmId } from "@azureshunt/core";

import { AskBody } from "./AskBody.js";
import type { createAllowanceStore } from "./createAllowanceStore.js";
import type { OrganisationEntry } from "./OrganisationEntry.js";

/** Returns the answer to the last event. A function, as the compiler would take the field for unchanged. */
const lastAnswer = (entry: OrganisationEntry): OrganisationEntry["answer"] => entry.answer;

/** Returns the body of the `AllowanceAskAnswer` to another VM's ask for tokens. */
export function handleAsk(store: ReturnType<typeof createAllowanceStore>, body: object, from: VmId): object {
    const ask = AskBody.safeParse(body);
    const entry = ask.success ? store.open(ask.data.organisation) : undefined;
    if (!ask.success || entry === undefined) {
        return { declined: true };
    }
    entry.answer = undefined;
    store.apply(entry, { kind: "ask", from, ask: { ...ask.data, home: ask.data.home } });
    const answer = lastAnswer(entry);
    return answer === undefined ? { declined: true } : { declined: false, ...answer };
}
