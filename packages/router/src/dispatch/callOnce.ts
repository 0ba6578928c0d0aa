import type { Millis } from "@azureshunt/core";

import type { EndpointAgent } from "./EndpointAgent.js";
import type { EndpointCall } from "./EndpointCall.js";
import { openCall } from "./openCall.js";
import { readAnswer } from "./readAnswer.js";

/**
 * A whole answer; or none: `unreached` when no byte of the call can have arrived, `lost` when it is not known whether the
 * call had an effect.
 */
type CallResult =
    | { readonly kind: "answer"; readonly status: number; readonly body: Buffer; }
    | { readonly kind: "unreached" | "lost"; };

/** A kept connection that was idle for longer may have been closed by the other side. */
const KEPT_MS = 2_000;

/** Makes one call and reads its whole answer. */
export async function callOnce(
    agent: EndpointAgent,
    address: string,
    call: Pick<EndpointCall, "method" | "target" | "headers" | "body">,
    timeoutMs: Millis,
): Promise<CallResult> {
    // A fraction of a millisecond would end the process.
    const signal = AbortSignal.timeout(Math.ceil(timeoutMs));
    const opened = await openCall(agent, { ...call, address, keptIdleMs: KEPT_MS, headMs: timeoutMs }, signal);
    if (opened.kind !== "head") {
        return { kind: opened.kind === "unreached" ? "unreached" : "lost" };
    }
    const body = await readAnswer(opened);
    return body === undefined ? { kind: "lost" } : { kind: "answer", status: opened.res.statusCode ?? 0, body };
}
