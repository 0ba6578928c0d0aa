import type { Tokens } from "@azureshunt/core";

import type { Call } from "../ports/Call.js";

/** Work that a call brings, in the fair queue's measure. A call to a service counts as one. */
export function costOf(call: Call): Tokens {
    const { target } = call;
    return target.kind === "service" ? 1 : target.promptTokens + target.maxTokens;
}
