import type { RequestFingerprint } from "@azureshunt/request";

import type { SuspectRun } from "./SuspectRun.js";

/**
 * What stands against a run of a suspect beside other runs; undefined for nothing.
 *
 * Failures guarded against: copies of a crashing request run at once, each on an endpoint of its own, before the first one's
 * death is noticed; two suspects meet on one endpoint again, and its death does not tell which of them is at fault.
 */
export function conflictOf(
    runs: readonly SuspectRun[],
    wanted: Pick<SuspectRun, "request" | "endpoint">,
    isSuspect: (request: RequestFingerprint) => boolean,
): "request-busy" | "endpoint-busy" | undefined {
    if (runs.some(({ request }) => request === wanted.request)) {
        return "request-busy";
    }
    const isTaken = runs.some(({ request, endpoint, isAnswering }) =>
        endpoint === wanted.endpoint && !isAnswering && isSuspect(request)
    );
    return isTaken ? "endpoint-busy" : undefined;
}
