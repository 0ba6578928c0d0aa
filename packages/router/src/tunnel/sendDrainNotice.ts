import type { Millis } from "@azureshunt/core";

import { callOnce } from "../dispatch/callOnce.js";
import type { EndpointAgent } from "../dispatch/EndpointAgent.js";
import type { TunnelDrainNotice } from "./TunnelDrainNotice.js";

const TIMEOUT_MS: Millis = 400;

/**
 * Asks a VM to close tunnels that this one forwards. A lost notice is made up for by the next.
 *
 * @param address of the VM's listener for peers
 */
export async function sendDrainNotice(
    agent: EndpointAgent,
    address: string,
    tunnels: TunnelDrainNotice["tunnels"],
): Promise<void> {
    const notice: TunnelDrainNotice = { tunnels };
    const body = Buffer.from(JSON.stringify(notice));
    const headers = ["Host", address, "Content-Type", "application/json", "Content-Length", String(body.length)];
    await callOnce(agent, address, { method: "POST", target: "/tunnel-drains", headers, body }, TIMEOUT_MS);
}
