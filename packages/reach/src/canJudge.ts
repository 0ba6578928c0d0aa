import type { Millis } from "@azureshunt/core";

import type { LinkState } from "./LinkState.js";
import type { LinkTarget } from "./LinkTarget.js";

/** How long a VM that has reached an endpoint may be trusted to reach others like it. */
const TRUSTED_MS: Millis = 1_000;

/**
 * Returns whether a connection to an endpoint that fails says something of the endpoint, as other endpoints of its
 * service are reached over own links.
 */
export function canJudge({ reachedAt }: LinkState, { service }: LinkTarget, now: Millis): boolean {
    return now - (reachedAt.get(service) ?? -Infinity) < TRUSTED_MS;
}
