import type { Millis } from "@azureshunt/core";

import { callOnce } from "./callOnce.js";
import type { EndpointAgent } from "./EndpointAgent.js";

const OK = 200;

/**
 * Gets a resource of another VM.
 *
 * @param address `host:port` of its listener for peers
 * @returns undefined if it has none, or does not answer in time
 */
export async function getBody(
    agent: EndpointAgent,
    address: string,
    target: string,
    timeoutMs: Millis,
): Promise<Buffer | undefined> {
    const call = { method: "GET", target, headers: ["Host", address], body: Buffer.alloc(0) };
    const res = await callOnce(agent, address, call, timeoutMs);
    return res.kind === "answer" && res.status === OK ? res.body : undefined;
}
