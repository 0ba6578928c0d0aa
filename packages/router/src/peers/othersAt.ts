import type { EndpointName, Millis } from "@azureshunt/core";

import type { EndpointShare } from "./EndpointShare.js";
import type { Members } from "./Members.js";

/** What a VM told of its load counts for so long; its requests are over by then, or it tells anew. */
const LOAD_MS = 1_500;

/** Adds up what the other VMs run at an endpoint, as they last told. */
export function othersAt(members: Members, endpoint: EndpointName, now: Millis): EndpointShare {
    return [...members.known.values()]
        .flatMap(({ heard }) => heard !== undefined && now - heard.at < LOAD_MS ? heard.beacon.load : [])
        .filter(([name]) => name === endpoint)
        .reduce<EndpointShare>(
            (sum, [, share]) => ({
                running: sum.running + share.running,
                waitingTokens: sum.waitingTokens + share.waitingTokens,
                memoryTokens: sum.memoryTokens + share.memoryTokens,
            }),
            { running: 0, waitingTokens: 0, memoryTokens: 0 },
        );
}
