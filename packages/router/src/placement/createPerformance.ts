import type { Clock, EndpointName, Millis, ModelName } from "@azureshunt/core";
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
    /** `undefined` for services without a model. */
    readonly model: ModelName | undefined;
    /** The endpoint as it was when the request was placed there. */
    readonly candidate: Candidate;
    readonly predictedMs: Millis;
};

/** How fast endpoints are, as this VM has learned from its own tries. */
type Performance = {
    /** What predicts the start of a request at an endpoint. */
    readonly at: (
        entry: EndpointEntry,
        model: ModelName | undefined,
        inFlight: readonly InFlight[],
    ) => Pick<Candidate, "performance" | "overdue">;
    readonly observe: (entry: EndpointEntry, start: ObservedStart) => void;
    /** Forgets an endpoint that has left or whose incarnation was replaced. */
    readonly forget: (endpoint: EndpointName) => void;
};

/** The endpoints of a service that serve a model; how long a prompt takes differs between models. */
type KnownPool = {
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

/** Names contain no space. */
const poolOf = ({ service }: EndpointEntry, model: ModelName | undefined): string => `${service} ${model ?? ""}`;

/** Creates the figures of all endpoints; nothing is known yet. */
export function createPerformance({ clock, lagMs, metrics }: PerformanceParts): Performance {
    const pools = new Map<string, KnownPool>();
    const gauges = new Map<EndpointName, Map<ModelName | undefined, () => void>>();

    const figuresAt = (entry: EndpointEntry, model: ModelName | undefined): EndpointFigures | undefined => {
        const endpoint = pools.get(poolOf(entry, model))?.endpoints.get(entry.name);
        return endpoint?.bornAt === entry.bornAt ? endpoint : undefined;
    };
    const performanceOf = (entry: EndpointEntry, model: ModelName | undefined): PerformanceModel | undefined => {
        const pool = pools.get(poolOf(entry, model));
        return pool === undefined ? undefined : { service: pool.figures, endpoint: figuresAt(entry, model) };
    };
    /** When the newest try was sent that the endpoint has answered, for whichever of its models. */
    const newestAnswered = (entry: EndpointEntry): Millis =>
        Math.max(
            ...[undefined, ...entry.versions.keys()].map(model => figuresAt(entry, model)?.sentAt ?? -Infinity),
        );
    const speedAt = (entry: EndpointEntry, model: ModelName | undefined): number => {
        const performance = performanceOf(entry, model);
        return performance === undefined ? 1 : speedOf(performance, clock.now());
    };
    const hide = (endpoint: EndpointName, model: ModelName | undefined): void => {
        const shown = gauges.get(endpoint);
        shown?.get(model)?.();
        shown?.delete(model);
        if (shown?.size === 0) {
            gauges.delete(endpoint);
        }
    };
    const show = (entry: EndpointEntry, model: ModelName | undefined): void => {
        const shown = gauges.get(entry.name) ?? new Map<ModelName | undefined, () => void>();
        if (Math.abs(speedAt(entry, model) - 1) < SHOWN_DIFFERENCE) {
            hide(entry.name, model);
        }
        else if (!shown.has(model)) {
            const unregister = metrics.gauge(
                "azureshunt_endpoint_speed_ratio",
                "Speed of an endpoint that differs from its service's median by a quarter or more, relative to that.",
                () => speedAt(entry, model),
                { endpoint: entry.name, ...(entry.versions.size > 1 && model !== undefined ? { model } : {}) },
            );
            gauges.set(entry.name, shown.set(model, unregister));
        }
    };

    const at: Performance["at"] = (entry, model, inFlight) => {
        const performance = performanceOf(entry, model);
        const pending = performance === undefined || inFlight.length === 0 || lagMs() > MAX_LAG_MS
            ? []
            : inFlight.flatMap(({ isAnswering, sentAt, predictedMs }) =>
                isAnswering || predictedMs === undefined ? [] : [{ sentAt, predictedMs }]
            );
        const answered = pending.length === 0 ? undefined : { sentAt: newestAnswered(entry) };
        return { performance, overdue: overdueOf(pending, answered, clock.now()) };
    };

    const observe: Performance["observe"] = (entry, { candidate, model, predictedMs, ...start }) => {
        const now = clock.now();
        const key = poolOf(entry, model);
        const known = pools.get(key)
            ?? { figures: initialService, spreadAt: now, endpoints: new Map<EndpointName, EndpointFigures>() };
        pools.set(key, known);
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
        show(entry, model);
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
        [...gauges.get(endpoint)?.keys() ?? []].forEach(model => hide(endpoint, model));
        pools.forEach(({ endpoints }) => endpoints.delete(endpoint));
    };

    return { at, observe, forget };
}
