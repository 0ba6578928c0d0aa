import type { Millis } from "@azureshunt/core";
import type { EndpointState } from "@azureshunt/endpoint";
import { loadOf, prefillRates } from "@azureshunt/endpoint";
import type { EndpointSpec } from "@azureshunt/release";

import type { EndpointInfo } from "./EndpointInfo.js";

/** Describes an endpoint for the administration API. */
export function describeEndpoint(
    spec: EndpointSpec,
    state: EndpointState,
    cacheDoubtful: boolean,
    now: Millis,
): EndpointInfo {
    const msPerToken = prefillRates([state], now)[0]!;
    return {
        name: spec.name,
        kind: spec.kind,
        failureDomain: spec.failureDomain,
        url: spec.url,
        incarnation: state.incarnation,
        health: state.health,
        ready: state.ready,
        leaving: state.leaving,
        holds: state.holds,
        inFlight: state.inFlight.length,
        load: loadOf(state, msPerToken, now),
        failures: state.failures.length,
        msPerToken,
        cacheDoubtful,
    };
}
