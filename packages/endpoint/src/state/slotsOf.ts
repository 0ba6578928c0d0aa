import type { EndpointState } from "./EndpointState.js";

const FULL_REPORTS = 3;

/** Requests that an endpoint runs at once; undefined while it is not seen to be full. */
export function slotsOf(state: EndpointState): number | undefined {
    return state.fullReports >= FULL_REPORTS ? state.maxRunning : undefined;
}
