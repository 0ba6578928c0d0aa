import type { Millis } from "@azureshunt/core";

import type { EndpointState } from "./EndpointState.js";

/** Older load reports are not used, so older entries are not needed. */
const HISTORY_MS = 3_000;
/** Changes closer together than this share one entry. */
const RESOLUTION_MS = 5;

/** Records this VM's own part of the endpoint's load, to be subtracted from a report measured at this time. */
export function recordOwnLoad(state: EndpointState, now: Millis): EndpointState {
    const tokens = state.inFlight
        .filter(each => each.firstTokenAt === undefined)
        .reduce((sum, each) => sum + each.prefillTokens, 0);
    const entry = { from: now, count: state.inFlight.length, tokens };
    const last = state.ownHistory.at(-1);
    const before = last !== undefined && now - last.from < RESOLUTION_MS
        ? state.ownHistory.slice(0, -1)
        : state.ownHistory;
    const merged = before.length < state.ownHistory.length ? { ...entry, from: last!.from } : entry;
    const recent = before.filter(each => each.from > now - HISTORY_MS);
    return { ...state, ownHistory: [...recent, merged] };
}
