import type { Millis } from "@azureshunt/core";

import type { ServedRequest } from "./ServedRequest.js";
import type { ServeParts } from "./ServeParts.js";

/**
 * Returns after how many seconds the caller of a request that is refused now is to come back.
 *
 * @param roomInMs time until there is room, if the load stays the same; `undefined` if that is not known
 */
export function retryAfterSeconds(
    { clock, overload }: Pick<ServeParts, "clock" | "overload">,
    { service, route, sendBefore }: Pick<ServedRequest, "service" | "route" | "sendBefore">,
    roomInMs?: Millis,
): number {
    return overload.retryAfterSeconds({ service, route, timeLeftMs: sendBefore - clock.now(), roomInMs });
}
