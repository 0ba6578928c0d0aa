import type { ServedRequest } from "./ServedRequest.js";
import type { ServeParts } from "./ServeParts.js";

/**
 * Returns whether no endpoint can answer a request before its caller leaves. If a VM has worked off a backlog, it would
 * otherwise send requests to endpoints that run them for nobody. A probe is too late only once its caller has left: if no
 * request were sent, no answer would show that endpoints have become faster.
 */
export function isTooLate(
    { clock, overload }: Pick<ServeParts, "clock" | "overload">,
    { route, sendBefore, isProbe }: Pick<ServedRequest, "route" | "sendBefore" | "isProbe">,
): boolean {
    return clock.now() + (isProbe ? 0 : overload.shortestAnswerMs(route)) >= sendBefore;
}
