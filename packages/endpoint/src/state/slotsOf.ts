import type { EndpointState } from "./EndpointState.js";

const MIN_FULL_REPORTS = 3;

/** Returns the maximum number of requests that an endpoint runs at once; undefined unless its reports show it full. */
export function slotsOf(state: EndpointState): number | undefined {
    return state.consecutiveFullReports >= MIN_FULL_REPORTS ? state.maxRunning : undefined;
}
