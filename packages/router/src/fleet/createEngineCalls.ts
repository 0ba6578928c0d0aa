import type { IncomingMessage } from "node:http";

import { startTimeout } from "@azureshunt/lifecycle";

import { callOnce } from "../dispatch/callOnce.js";
import type { EndpointAgent } from "../dispatch/EndpointAgent.js";
import type { EngineCalls } from "./EngineCalls.js";

type CallListeners = {
    /** Called with the address of an engine that a call has not reached. */
    readonly onUnreached: (address: string) => Promise<void>;
    /** Called with the address of an engine and the head of its answer. */
    readonly onHead: (address: string, res: IncomingMessage) => void;
};

/** Creates the calls of orders and requests for reports. */
export function createEngineCalls(agent: EndpointAgent, { onUnreached, onHead }: CallListeners): EngineCalls {
    return {
        call: async (address, call, timeoutMs) => {
            const result = await callOnce(agent, address, call, timeoutMs, res => onHead(address, res));
            if (result.kind === "unreached") {
                void onUnreached(address);
            }
            return result;
        },
        schedule: startTimeout,
    };
}
