import type { ServedRequest } from "./ServedRequest.js";
import type { ServeParts } from "./ServeParts.js";

/**
 * Returns whether no endpoint can answer a request before its caller leaves. If a VM has worked off a backlog, it would
 * otherwise send requests to endpoints that run them for nobody.
 */
export function isTooLate(
    { clock, overload }: Pick<ServeParts, "clock" | "overload">,
    { route, sendBefore }: Pick<ServedRequest, "route" | "sendBefore">,
): boolean {
    return clock.now() + overload.shortestAnswerMs(route) >= sendBefore;
}
