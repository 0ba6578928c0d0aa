import type { RequestFingerprint } from "@azureshunt/request";

import type { SuspectRun } from "./SuspectRun.js";

/**
 * Returns why a suspect may not run beside other runs; undefined if it may.
 *
 * Without the first check, copies of a crashing request run at once, each on an endpoint of its own, and crash them all
 * before the first death is noticed. Without the second, two suspects run on one endpoint again, and its death does not
 * show which of them is the cause.
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
