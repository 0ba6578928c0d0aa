import type { Tokens } from "@azureshunt/core";

import type { Call } from "../ports/Call.js";

/** Returns the work of a call as the fair queue measures it, in tokens. A call to a service counts as one. */
export function costOf(call: Call): Tokens {
    const { target } = call;
    return target.kind === "service" ? 1 : target.promptTokens + target.maxTokens;
}
