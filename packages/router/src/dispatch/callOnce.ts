import type { IncomingMessage } from "node:http";

import type { Millis } from "@azureshunt/core";
import { isFinalStatus } from "@azureshunt/http";
import { startTimeout } from "@azureshunt/lifecycle";

import type { CallResult } from "./CallResult.js";
import { createCancellation } from "./createCancellation.js";
import type { EndpointAgent } from "./EndpointAgent.js";
import type { EndpointCall } from "./EndpointCall.js";
import { openCall } from "./openCall.js";
import { readAnswer } from "./readAnswer.js";

/** A connection that was idle for longer may have been closed by the peer. */
const MAX_IDLE_MS = 2_000;

/**
 * Makes one call and reads its complete answer.
 *
 * @param onHead called with the head of the answer
 */
export async function callOnce(
    agent: EndpointAgent,
    address: string,
    call: Pick<EndpointCall, "method" | "target" | "headers" | "body"> & Partial<Pick<EndpointCall, "maxIdleMs">>,
    timeoutMs: Millis,
    onHead?: (res: IncomingMessage) => void,
): Promise<CallResult> {
    const { signal, abort } = createCancellation();
    const cancelTimeout = startTimeout(timeoutMs, abort);
    // What Node refuses to send has reached nobody; those who make these calls mostly do not wait for them.
    const opened = await openCall(agent, { maxIdleMs: MAX_IDLE_MS, ...call, address, headMs: timeoutMs }, signal)
        .catch(() => ({ kind: "unreached" }) as const);
    if (opened.kind !== "head") {
        cancelTimeout();
        return { kind: opened.kind === "unreached" ? "unreached" : "lost" };
    }
    const { statusCode } = opened.res;
    if (!isFinalStatus(statusCode)) {
        cancelTimeout();
        opened.res.destroy();
        return { kind: "lost" };
    }
    onHead?.(opened.res);
    const body = await readAnswer(opened);
    cancelTimeout();
    return body === undefined
        ? { kind: "lost" }
        : { kind: "answer", status: statusCode, body: Buffer.concat(body) };
}
