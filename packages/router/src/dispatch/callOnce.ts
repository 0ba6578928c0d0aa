import type { Millis } from "@azureshunt/core";

import type { EndpointAgent } from "./EndpointAgent.js";
import type { EndpointCall } from "./EndpointCall.js";
import { openCall } from "./openCall.js";
import { readAnswer } from "./readAnswer.js";

/** A whole answer. */
type WholeAnswer = { readonly status: number; readonly body: Buffer; };

/** A kept connection that was idle for longer may have been closed by the other side. */
const KEPT_MS = 2_000;

/**
 * Makes one call and reads its whole answer.
 *
 * @returns undefined where none came in time; whether the call had an effect is not known then
 */
export async function callOnce(
    agent: EndpointAgent,
    address: string,
    call: Pick<EndpointCall, "method" | "target" | "headers" | "body">,
    timeoutMs: Millis,
): Promise<WholeAnswer | undefined> {
    const signal = AbortSignal.timeout(timeoutMs);
    const opened = await openCall(agent, { ...call, address, keptIdleMs: KEPT_MS, headMs: timeoutMs }, signal);
    const body = opened.kind === "head" ? await readAnswer(opened) : undefined;
    return opened.kind === "head" && body !== undefined
        ? { status: opened.res.statusCode ?? 0, body }
        : undefined;
}
