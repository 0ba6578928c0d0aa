import type { Clock, EndpointName, Millis, ServiceName } from "@azureshunt/core";
import { initialService, overdueOf, speedOf, stepModel, stepSpread } from "@azureshunt/performance";
import type { EndpointFigures, Observation, PerformanceModel, ServiceFigures } from "@azureshunt/performance";
import type { Metrics } from "@azureshunt/telemetry";

import type { EndpointEntry } from "../registry/EndpointEntry.js";
import type { Candidate } from "./Candidate.js";
import type { InFlight } from "./InFlight.js";
import { REMOTE_DOMAIN_MS } from "./REMOTE_DOMAIN_MS.js";

type PerformanceParts = {
    readonly clock: Clock;
    /** How late this process ran within the last second. */
    readonly lagMs: () => Millis;
    readonly metrics: Metrics;
};

/** The start of a try's answer, or its end before that. */
type ObservedStart = Pick<Observation, "startMs" | "sentAt" | "outcome"> & {
    /** The endpoint as it was when the request was placed there. */
    readonly candidate: Candidate;
    readonly predictedMs: Millis;
};

/** How fast endpoints are, as this VM has learned from its own tries. */
type Performance = {
    /** What predicts the start of a request at an endpoint. */
    readonly at: (entry: EndpointEntry, inFlight: readonly InFlight[]) => Pick<Candidate, "performance" | "overdue">;
    readonly observe: (entry: EndpointEntry, start: ObservedStart) => void;
    /** Forgets an endpoint that has left or whose incarnation was replaced. */
    readonly forget: (endpoint: EndpointName) => void;
};

type KnownService = {
    figures: ServiceFigures;
    spreadAt: Millis;
    readonly endpoints: Map<EndpointName, EndpointFigures>;
};

/** Interval at which the median of a service is computed anew while it has traffic. */
const SPREAD_MS: Millis = 200;
/** Lag from which an answer that is missing may have arrived and wait unread. */
const MAX_LAG_MS: Millis = 25;
/** Difference from the median of its service from which an endpoint is shown to operators. */
const SHOWN_DIFFERENCE = 0.25;

/** Creates the figures of all endpoints; nothing is known yet. */
export function createPerformance({ clock, lagMs, metrics }: PerformanceParts): Performance {
    const services = new Map<ServiceName, KnownService>();
    const gauges = new Map<EndpointName, () => void>();

    const modelOf = (entry: EndpointEntry): PerformanceModel | undefined => {
        const known = services.get(entry.service);
        const endpoint = known?.endpoints.get(entry.name);
        return known === undefined
            ? undefined
            : { service: known.figures, endpoint: endpoint?.bornAt === entry.bornAt ? endpoint : undefined };
    };
    const speedAt = (entry: EndpointEntry): number => {
        const model = modelOf(entry);
        return model === undefined ? 1 : speedOf(model, clock.now());
    };
    const hide = (endpoint: EndpointName): void => {
        gauges.get(endpoint)?.();
        gauges.delete(endpoint);
    };
    const show = (entry: EndpointEntry): void => {
        const isShown = Math.abs(speedAt(entry) - 1) >= SHOWN_DIFFERENCE;
        if (!isShown) {
            hide(entry.name);
        }
        else if (!gauges.has(entry.name)) {
            const unregister = metrics.gauge(
                "azureshunt_endpoint_speed_ratio",
                "Speed of an endpoint that differs from its service's median by a quarter or more, relative to that.",
                () => speedAt(entry),
                { endpoint: entry.name },
            );
            gauges.set(entry.name, unregister);
        }
    };

    const at: Performance["at"] = (entry, inFlight) => {
        const performance = modelOf(entry);
        const pending = performance === undefined || inFlight.length === 0 || lagMs() > MAX_LAG_MS
            ? []
            : inFlight.flatMap(({ isAnswering, sentAt, predictedMs }) =>
                isAnswering || predictedMs === undefined ? [] : [{ sentAt, predictedMs }]
            );
        return { performance, overdue: overdueOf(pending, performance?.endpoint, clock.now()) };
    };

    const observe: Performance["observe"] = (entry, { candidate, predictedMs, ...start }) => {
        const now = clock.now();
        const known = services.get(entry.service)
            ?? { figures: initialService, spreadAt: now, endpoints: new Map<EndpointName, EndpointFigures>() };
        services.set(entry.service, known);
        const { service, endpoint } = stepModel(
            { service: known.figures, endpoint: known.endpoints.get(entry.name) },
            {
                ...start,
                bornAt: entry.bornAt,
                load: candidate,
                distanceMs: candidate.isSameDomain ? 0 : REMOTE_DOMAIN_MS,
                lagMs: lagMs(),
            },
            now,
        );
        known.figures = service;
        if (endpoint !== undefined) {
            known.endpoints.set(entry.name, endpoint);
        }
        if (now - known.spreadAt >= SPREAD_MS) {
            known.figures = stepSpread(service, [...known.endpoints.values()]);
            known.spreadAt = now;
        }
        show(entry);
        if (start.outcome === "started") {
            metrics.record(
                "azureshunt_start_error_ratio",
                "Difference between the predicted and the observed start of an answer, divided by the latter.",
                Math.abs(predictedMs - start.startMs) / Math.max(1, start.startMs),
                { service: entry.service },
            );
        }
    };

    const forget: Performance["forget"] = endpoint => {
        hide(endpoint);
        services.forEach(({ endpoints }) => endpoints.delete(endpoint));
    };

    return { at, observe, forget };
}
