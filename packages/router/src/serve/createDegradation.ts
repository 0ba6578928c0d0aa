import type { Clock, Millis, ServiceName } from "@azureshunt/core";
import {
    degradationTiming,
    degradedFraction,
    initialDegradation,
    refusedFractionOf,
    stepDegradation,
} from "@azureshunt/overload";
import type { Degradation, LoadState } from "@azureshunt/overload";
import type { Metrics } from "@azureshunt/telemetry";

import type { Route } from "../configuration/Route.js";
import type { EndpointTable } from "../placement/EndpointTable.js";
import type { createOverloadGuard } from "./createOverloadGuard.js";
import type { ServedRequest } from "./ServedRequest.js";
import type { TryPlace } from "./TryPlace.js";

type DegradationParts = {
    readonly clock: Pick<Clock, "now">;
    readonly random: () => number;
    readonly routes: () => readonly Route[];
    readonly endpointTable: Pick<EndpointTable, "servingEntries" | "isSilent">;
    readonly overload: Pick<ReturnType<typeof createOverloadGuard>, "divide">;
    readonly metrics: Pick<Metrics, "gauge">;
};

type ServiceState = {
    degradation: Degradation;
    observedAt: Millis;
    longestQueueMs: Millis;
    /** What is refused of its kinds and organisations; `undefined` while it is not degraded. */
    refused: Pick<LoadState, "kinds" | "priorities"> | undefined;
};

/** Least time between two observations of a service: the counts of requests change at most that often. */
const OBSERVE_MS: Millis = 100;
/** Fraction of the places at the chosen endpoint below which nothing is refused. */
const MIN_TAKEN = 0.5;

/** Refuses requests of the least urgent kinds first while endpoints of their service are silent. */
type ServiceDegradation = {
    /**
     * Observes the endpoint that was chosen for a new request.
     *
     * @returns undefined if the request is sent; otherwise the time until the service has recovered, at the earliest
     */
    readonly delayMs: (
        request: Pick<ServedRequest, "service" | "route" | "organisation">,
        place: Pick<TryPlace, "queueMs" | "running" | "slots">,
    ) => Millis | undefined;
    /** Returns the step to which a service is degraded. */
    readonly stepOf: (service: ServiceName) => number;
};

/** Creates the degradation of services. It acts only on services that get requests of different priorities. */
export function createDegradation(parts: DegradationParts): ServiceDegradation {
    const { clock, endpointTable, overload, metrics } = parts;
    const services = new Map<ServiceName, ServiceState>();

    const stepOf = (service: ServiceName): number => services.get(service)?.degradation.step ?? 0;
    const stateOf = (service: ServiceName): ServiceState => {
        const known = services.get(service);
        if (known !== undefined) {
            return known;
        }
        const added: ServiceState = {
            degradation: initialDegradation,
            observedAt: -Infinity,
            longestQueueMs: 0,
            refused: undefined,
        };
        services.set(service, added);
        const help = "Step to which the service is degraded as endpoints are silent; 0 if it is not.";
        metrics.gauge("azureshunt_degradation_step", help, () => stepOf(service), { service });
        return added;
    };
    const observe = (service: ServiceName, state: ServiceState, now: Millis): void => {
        const routes = parts.routes().filter(({ targets }) => targets.some(target => target.service === service));
        const priority = Math.min(...routes.map(route => route.priority));
        const urgent = routes.filter(route => route.priority === priority);
        const entries = endpointTable.servingEntries(service);
        const isApplicable = urgent.length < routes.length && entries.length > 0;
        state.degradation = isApplicable
            ? stepDegradation(state.degradation, {
                available: entries.filter(entry => !endpointTable.isSilent(entry)).length / entries.length,
                queueMs: state.longestQueueMs,
                objectiveMs: Math.min(...urgent.map(({ objectiveMs }) => objectiveMs)),
            }, now)
            : initialDegradation;
        state.refused = state.degradation.step === 0
            ? undefined
            : overload.divide(new Set(routes.map(({ name }) => name)), degradedFraction(state.degradation));
        state.observedAt = now;
        state.longestQueueMs = 0;
    };

    return {
        delayMs: ({ service, route, organisation }, { queueMs, running, slots }) => {
            const now = clock.now();
            const state = stateOf(service);
            state.longestQueueMs = Math.max(state.longestQueueMs, queueMs);
            if (now - state.observedAt >= OBSERVE_MS) {
                observe(service, state, now);
            }
            if (state.refused === undefined || running < slots * MIN_TAKEN) {
                return undefined;
            }
            return parts.random() < refusedFractionOf(state.refused, route, organisation?.id)
                ? state.degradation.step * degradationTiming.recoverMs
                : undefined;
        },
        stepOf,
    };
}
