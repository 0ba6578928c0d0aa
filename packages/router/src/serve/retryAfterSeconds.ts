import type { Millis } from "@azureshunt/core";

import type { ServedRequest } from "./ServedRequest.js";
import type { ServeParts } from "./ServeParts.js";

/**
 * Returns after how many seconds the caller of a request that is refused now is to come back.
 *
 * @param roomInMs time until there is room, if the load stays the same; 0 if that is not known
 */
export function retryAfterSeconds(
    { clock, overload }: Pick<ServeParts, "clock" | "overload">,
    { service, route, deadline }: Pick<ServedRequest, "service" | "route" | "deadline">,
    roomInMs: Millis = 0,
): number {
    return overload.retryAfterSeconds({ service, route, timeLeftMs: deadline - clock.now(), roomInMs });
}
