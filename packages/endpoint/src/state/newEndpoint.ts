import type { EndpointName, FailureDomain } from "@azureshunt/core";

import type { EndpointState } from "./EndpointState.js";

/** Makes the state of an endpoint that nothing but its declaration is known of. */
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
        others: [],
        ownHistory: [],
        prefillSamples: [],
        durations: [],
        roundTrips: [],
        maxRunning: 0,
        fullReports: 0,
    };
}
