import type { Millis, Tokens } from "@azureshunt/core";

import type { EndpointLoad } from "./EndpointLoad.js";
import type { EndpointState } from "./EndpointState.js";

/** Older reports are ignored. */
const MAX_REPORT_AGE_MS = 3_000;

/** Estimates this VM's own tokens left to prefill. The first waiting dispatch progresses since the last first token. */
function ownTokensLeft(state: EndpointState, msPerToken: number, now: Millis): Tokens {
    const waiting = state.inFlight.filter(each => each.firstTokenAt === undefined);
    const head = waiting[0];
    if (head === undefined) {
        return 0;
    }
    const lastStart = state.inFlight.reduce((last, each) => Math.max(last, each.firstTokenAt ?? 0), head.dispatchedAt);
    const progress = Math.min(head.prefillTokens, (now - lastStart) / msPerToken);
    return waiting.reduce((sum, each) => sum + each.prefillTokens, 0) - progress;
}

/** Work of other VMs at a point in time. */
type Backlog = { readonly at: Millis; readonly tokens: Tokens; };

const remainingAt = (backlog: Backlog, until: Millis, msPerToken: number): Tokens =>
    Math.max(0, backlog.tokens - Math.max(0, until - backlog.at) / msPerToken);

/** Estimates the load from other VMs: what the report showed plus what peers sent since then, less the progress. */
function peerLoad(state: EndpointState, msPerToken: number, now: Millis): EndpointLoad {
    const report = state.report !== undefined && now - state.report.measuredAt <= MAX_REPORT_AGE_MS
        ? state.report
        : { running: 0, waiting: 0, waitingTokens: 0, measuredAt: now - MAX_REPORT_AGE_MS };
    const ownAtReport = state.ownHistory.findLast(each => each.from <= report.measuredAt) ?? { count: 0, tokens: 0 };
    const reported = { at: report.measuredAt, tokens: Math.max(0, report.waitingTokens - ownAtReport.tokens) };
    const announced = state.peerDispatches.filter(each => each.sentAt > report.measuredAt);
    const backlog = announced.reduce<Backlog>(
        (before, each) => ({
            at: each.sentAt,
            tokens: remainingAt(before, each.sentAt, msPerToken) + each.prefillTokens,
        }),
        reported,
    );
    return {
        requests: Math.max(0, report.running + report.waiting - ownAtReport.count) + announced.length,
        prefillTokens: remainingAt(backlog, now, msPerToken),
    };
}

/**
 * Estimates an endpoint's current load. Own dispatches are known exactly. The report lags, so it is used only for the
 * load from other VMs, without this VM's own part at the time of the measurement. Dispatches that peers announced since
 * then are added, so that daemons do not all send their work to the engine that was idle in the last report.
 */
export function loadOf(state: EndpointState, msPerToken: number, now: Millis): EndpointLoad {
    const peers = peerLoad(state, msPerToken, now);
    return {
        requests: state.inFlight.length + peers.requests,
        prefillTokens: ownTokensLeft(state, msPerToken, now) + peers.prefillTokens,
    };
}
