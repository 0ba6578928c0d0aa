import type { Millis } from "@azureshunt/core";

import { callOnce } from "../dispatch/callOnce.js";
import type { EndpointAgent } from "../dispatch/EndpointAgent.js";
import type { CountsReport } from "./CountsReport.js";

/** A report that arrives later is overtaken by the next one. */
const TIMEOUT_MS: Millis = 400;

/**
 * Sends a report to the leader of a rollout. A lost one is made up for by the next, as it contains totals.
 *
 * @param address of the leader's peer listener; nothing is sent while it is not known
 */
export async function sendReport(
    agent: EndpointAgent,
    address: string | undefined,
    report: CountsReport,
): Promise<void> {
    if (address === undefined) {
        return;
    }
    const body = Buffer.from(JSON.stringify(report));
    const headers = ["Host", address, "Content-Type", "application/json", "Content-Length", String(body.length)];
    await callOnce(agent, address, { method: "POST", target: "/rollout-counts", headers, body }, TIMEOUT_MS);
}
