import type { Millis } from "@azureshunt/core";

import type { EndpointLimit } from "./EndpointLimit.js";
import { limitTiming } from "./limitTiming.js";

/** Returns how many requests this VM has sent to an endpoint within `limitTiming.sentMs`. */
export function sentLately({ sentAt }: EndpointLimit, now: Millis): number {
    return sentAt.filter(at => now - at < limitTiming.sentMs).length;
}
