import type { Millis } from "@azureshunt/core";
import { predict } from "@azureshunt/performance";

import type { Candidate } from "./Candidate.js";
import { REMOTE_DOMAIN_MS } from "./REMOTE_DOMAIN_MS.js";
import type { StartEstimate } from "./StartEstimate.js";

/** Estimates when an endpoint would start processing a request and start its answer. */
export function estimateStart(candidate: Candidate, now: Millis): StartEstimate {
    const distanceMs = candidate.isSameDomain ? 0 : REMOTE_DOMAIN_MS;
    const usual = predict(undefined, candidate, now);
    const { performance, overdue } = candidate;
    const { queueMs, ownMs } = performance === undefined ? usual : predict(performance, candidate, now);
    const ranked = performance === undefined || overdue === undefined || overdue === 1
        ? { queueMs, ownMs }
        : predict(performance, candidate, now, overdue);
    return {
        queueMs: distanceMs + queueMs,
        startMs: distanceMs + queueMs + ownMs,
        rankMs: distanceMs + ranked.queueMs + ranked.ownMs,
        usualMs: distanceMs + usual.queueMs + (candidate.memorySize === 0 ? 0 : usual.ownMs),
    };
}
