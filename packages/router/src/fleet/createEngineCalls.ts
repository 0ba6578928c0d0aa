import { callOnce } from "../dispatch/callOnce.js";
import type { EndpointAgent } from "../dispatch/EndpointAgent.js";
import type { EngineCalls } from "./EngineCalls.js";

/**
 * Creates the calls of orders and requests for reports.
 *
 * @param checkLink called with the address of an engine that a call has not reached
 */
export function createEngineCalls(agent: EndpointAgent, checkLink: (address: string) => Promise<void>): EngineCalls {
    return {
        call: async (address, call, timeoutMs) => {
            const result = await callOnce(agent, address, call, timeoutMs);
            if (result.kind === "unreached") {
                void checkLink(address);
            }
            return result;
        },
        schedule: (delayMs, run) => void setTimeout(run, delayMs),
    };
}
