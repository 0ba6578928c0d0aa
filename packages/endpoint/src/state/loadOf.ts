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

/** Work of others at a time. */
type Backlog = { readonly at: Millis; readonly tokens: Tokens; };

const drained = (backlog: Backlog, until: Millis, msPerToken: number): Tokens =>
    Math.max(0, backlog.tokens - Math.max(0, until - backlog.at) / msPerToken);

/** Others' work, reported and announced since, that is not computed yet. */
function othersLoad(state: EndpointState, msPerToken: number, now: Millis): EndpointLoad {
    const report = state.report !== undefined && now - state.report.measuredAt <= MAX_REPORT_AGE_MS
        ? state.report
        : { running: 0, waiting: 0, waitingTokens: 0, measuredAt: now - MAX_REPORT_AGE_MS };
    const ownThen = state.ownHistory.findLast(each => each.from <= report.measuredAt) ?? { count: 0, tokens: 0 };
    const reported = { at: report.measuredAt, tokens: Math.max(0, report.waitingTokens - ownThen.tokens) };
    const announced = state.others.filter(each => each.sentAt > report.measuredAt);
    const backlog = announced.reduce<Backlog>(
        (before, each) => ({
            at: each.sentAt,
            tokens: drained(before, each.sentAt, msPerToken) + each.prefillTokens,
        }),
        reported,
    );
    return {
        requests: Math.max(0, report.running + report.waiting - ownThen.count) + announced.length,
        prefillTokens: drained(backlog, now, msPerToken),
    };
}

/**
 * Estimates an endpoint's load now. Own dispatches are known exactly; the report, which lags, stands only for those of
 * others, after this VM's own part at the time that it was measured is taken out. What others announced since is added,
 * so that daemons do not all send their work to the engine that looked idle in the last report.
 */
export function loadOf(state: EndpointState, msPerToken: number, now: Millis): EndpointLoad {
    const others = othersLoad(state, msPerToken, now);
    return {
        requests: state.inFlight.length + others.requests,
        prefillTokens: ownTokensLeft(state, msPerToken, now) + others.prefillTokens,
    };
}
