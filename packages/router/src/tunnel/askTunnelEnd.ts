import { jsonOf } from "@azureshunt/http";

import type { EndpointAgent } from "../dispatch/EndpointAgent.js";
import { getBody } from "../dispatch/getBody.js";
import { TunnelEndAnswer } from "./TunnelEndAnswer.js";
import type { TunnelId } from "./TunnelId.js";
import { tunnelTiming } from "./tunnelTiming.js";

/**
 * Asks the carrier of a tunnel whether the endpoint has closed it, all bytes before being passed on. False unless the carrier
 * says so in time: one of an earlier build, or that has started again, does not know the tunnel.
 *
 * @param carrier `host:port` of its listener for peers
 */
export async function askTunnelEnd(agent: EndpointAgent, carrier: string, id: TunnelId): Promise<boolean> {
    const body = await getBody(agent, carrier, `/tunnels/${id}`, tunnelTiming.confirmMs);
    return body !== undefined && TunnelEndAnswer.safeParse(jsonOf(body)).data?.end === "endpoint-closed";
}
