import type { Millis } from "@azureshunt/core";

import type { EndpointBound } from "./EndpointBound.js";
import { endpointLevels } from "./endpointLevels.js";

/**
 * Returns the bound of an endpoint in bytes. It rises step by step after it was lowered, as a death may have had another
 * cause.
 *
 * @param lowered `undefined` if the endpoint has not died with unread bodies
 */
export function boundAt(lowered: EndpointBound | undefined, now: Millis): number {
    if (lowered === undefined) {
        return endpointLevels.initialBytes;
    }
    const steps = Math.floor(Math.max(0, now - lowered.loweredAt) / endpointLevels.riseMs);
    return Math.min(endpointLevels.initialBytes, lowered.bytes * (1 + endpointLevels.rise) ** steps);
}
