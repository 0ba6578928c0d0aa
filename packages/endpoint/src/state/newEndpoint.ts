import type { EndpointName, FailureDomain } from "@azureshunt/core";

import type { EndpointState } from "./EndpointState.js";

/** Creates the state of an endpoint of which only the declaration is known. */
export function newEndpoint(
    name: EndpointName,
    failureDomain: FailureDomain,
    url: string,
    leaving: boolean,
): EndpointState {
    return {
        name,
        failureDomain,
        url,
        leaving,
        incarnation: undefined,
        incarnationSeenAt: -Infinity,
        health: "unknown",
        ready: false,
        failures: [],
        holds: [],
        inFlight: [],
        report: undefined,
        peerDispatches: [],
        ownHistory: [],
        prefillSamples: [],
        durations: [],
        roundTrips: [],
        maxRunning: 0,
        consecutiveFullReports: 0,
    };
}
