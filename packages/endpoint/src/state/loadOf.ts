import type { Millis, Tokens } from "@azureshunt/core";

import type { EndpointLoad } from "./EndpointLoad.js";
import type { EndpointState } from "./EndpointState.js";

/** A report older than this is left out. */
const MAX_REPORT_AGE_MS = 3_000;

/** Own tokens still to be computed: the head of the queue has made progress since the last first token. */
function ownTokensLeft(state: EndpointState, msPerToken: number, now: Millis): Tokens {
    const waiting = state.inFlight.filter(each => each.startedAt === undefined);
    const head = waiting[0];
    if (head === undefined) {
        return 0;
    }
    const lastStart = state.inFlight.reduce((last, each) => Math.max(last, each.startedAt ?? 0), head.dispatchedAt);
    const progress = Math.min(head.prefillTokens, (now - lastStart) / msPerToken);
    return waiting.reduce((sum, each) => sum + each.prefillTokens, 0) - progress;
}

/**
 * Estimates an endpoint's load now. Own dispatches are known exactly; the report, which lags, stands only for those of
 * others, after this VM's own part at the time that it was measured is taken out.
 */
export function loadOf(state: EndpointState, msPerToken: number, now: Millis): EndpointLoad {
    const own = { requests: state.inFlight.length, prefillTokens: ownTokensLeft(state, msPerToken, now) };
    const { report } = state;
    if (report === undefined || now - report.measuredAt > MAX_REPORT_AGE_MS) {
        return own;
    }
    const ownThen = state.ownHistory.findLast(each => each.from <= report.measuredAt) ?? { count: 0, tokens: 0 };
    const othersTokens = Math.max(0, report.waitingTokens - ownThen.tokens);
    const sinceReport = (now - report.measuredAt) / msPerToken;
    return {
        requests: own.requests + Math.max(0, report.running + report.waiting - ownThen.count),
        prefillTokens: own.prefillTokens + Math.max(0, othersTokens - sinceReport),
    };
}
