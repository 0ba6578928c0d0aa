import type { Clock, Millis, ServiceName } from "@azureshunt/core";
import { initialQueue, queueDueAt, stepQueue } from "@azureshunt/overload";
import type { WaitEvent, WaitId, WaitQueue, WaitTicket } from "@azureshunt/overload";
import type { Metrics } from "@azureshunt/telemetry";

import type { RoutingConfiguration } from "../configuration/RoutingConfiguration.js";
import { servicesWithPriorities } from "../configuration/servicesWithPriorities.js";
import type { ServedRequest } from "./ServedRequest.js";
import type { WaitEnd } from "./WaitEnd.js";

type QueueParts = {
    readonly clock: Clock;
    readonly configuration: () => RoutingConfiguration | undefined;
    /** Number of VMs that place requests on the endpoints, including this one. */
    readonly placingVms: () => number;
    /** Requests that the endpoints of a service can start at once, as this VM knows their load. */
    readonly freeSlots: (service: ServiceName) => number;
    /** Calls a function after a delay; returns a function that cancels it. */
    readonly schedule: (delayMs: Millis, run: () => void) => () => void;
    readonly metrics: Metrics;
};

type WaitingServed = Pick<
    ServedRequest,
    "service" | "route" | "organisation" | "arrivedAt" | "deadline" | "signal" | "notes"
>;

/** What is predicted of a request that finds no room. */
type PredictedWait = {
    /** Time until there is room. */
    readonly delayMs: Millis;
    /** Time from its turn at the endpoint to its response. */
    readonly ownMs: Millis;
};

type ServiceQueue = {
    queue: WaitQueue;
    readonly settle: Map<WaitId, (kind: WaitEnd["kind"]) => void>;
    timer: { readonly at: Millis; readonly cancel: () => void; } | undefined;
    readonly unregister: () => void;
};

/** The requests that wait in this VM until endpoints have room for them. */
type RequestQueues = {
    /**
     * Lets a request wait; resolves once it leaves the queue.
     *
     * @param ticket that of its earlier wait, if it has been placed again since
     * @returns undefined if it does not qualify
     */
    readonly wait: (
        served: WaitingServed,
        predicted: PredictedWait,
        ticket: WaitTicket | undefined,
    ) => Promise<WaitEnd> | undefined;
    /** Whether a more urgent request waits for the same service. */
    readonly hasMoreUrgent: (served: Pick<ServedRequest, "service" | "route">) => boolean;
    /** Records how the wait of a request ended; without a ticket, it has not waited. */
    readonly recordEnd: (
        served: WaitingServed,
        ticket: WaitTicket | undefined,
        end: "sent" | "refused" | "cancelled",
    ) => void;
    /** Records that a request is sent to its service; returns a function to be called when the try has ended. */
    readonly beginTry: (served: Pick<ServedRequest, "service" | "organisation">) => () => void;
    /** To be called when the load of endpoints has become known anew. */
    readonly onLoadKnown: () => void;
    /** Refuses all that waits; nothing waits from then on. */
    readonly close: () => void;
    /** Number of waiting requests. */
    readonly size: () => number;
    /** Unregisters the gauges. */
    readonly stop: () => void;
};

const ignoreEnd = (): void => undefined;

/** Creates the queues of a VM, one per service; `stepQueue` decides who waits and who leaves. */
export function createRequestQueues(parts: QueueParts): RequestQueues {
    const { clock, metrics } = parts;
    const queues = new Map<ServiceName, ServiceQueue>();
    const state = {
        nextId: 0,
        isClosed: false,
        configuration: undefined as RoutingConfiguration | undefined,
        services: new Set() as ReadonlySet<ServiceName>,
    };

    /** Whether the order of a service's requests matters. */
    const hasQueue = (service: ServiceName): boolean => {
        const configuration = parts.configuration();
        if (configuration !== state.configuration) {
            state.configuration = configuration;
            state.services = servicesWithPriorities(configuration?.routes ?? []);
        }
        return state.services.has(service);
    };
    const queueOf = (service: ServiceName): ServiceQueue => {
        const known = queues.get(service);
        if (known !== undefined) {
            return known;
        }
        const created: ServiceQueue = {
            queue: initialQueue,
            settle: new Map(),
            timer: undefined,
            unregister: metrics.gauge(
                "azureshunt_waiting_requests",
                "Requests that wait in this VM for room at the endpoints of a service.",
                () => created.queue.waiting.length,
                { service },
            ),
        };
        queues.set(service, created);
        return created;
    };
    /** This VM's share of the free capacity. VMs out of hearing count, so a VM without peers keeps an even share. */
    const placesAt = (service: ServiceName): number => parts.freeSlots(service) / parts.placingVms();

    const apply = (service: ServiceName, each: ServiceQueue, event: WaitEvent): void => {
        const now = clock.now();
        const { queue, sent, refused } = stepQueue(each.queue, event, now);
        each.queue = queue;
        const dueAt = queueDueAt(queue, now);
        if (dueAt !== each.timer?.at) {
            each.timer?.cancel();
            each.timer = dueAt === undefined ? undefined : {
                at: dueAt,
                cancel: parts.schedule(Math.max(1, Math.ceil(dueAt - now)), () => {
                    each.timer = undefined;
                    apply(service, each, { kind: "due", places: placesAt(service) });
                }),
            };
        }
        sent.forEach(id => each.settle.get(id)?.("released"));
        refused.forEach(id => each.settle.get(id)?.(event.kind === "closed" ? "closed" : "refused"));
    };

    const wait: RequestQueues["wait"] = (served, { delayMs, ownMs }, ticket) => {
        const { service, route, signal } = served;
        if (state.isClosed || signal.aborted || parts.placingVms() <= 1 || !hasQueue(service)) {
            return undefined;
        }
        const each = queueOf(service);
        const id = state.nextId as WaitId;
        state.nextId += 1;
        apply(service, each, {
            kind: "arrived",
            request: {
                id,
                priority: route.priority,
                organisation: served.organisation?.id,
                arrivedAt: served.arrivedAt,
                objectiveMs: route.objectiveMs,
                deadline: served.deadline,
                ownMs,
                delayMs,
                earlier: ticket,
            },
        });
        const waiting = each.queue.waiting.find(request => request.id === id);
        if (waiting === undefined) {
            return undefined;
        }
        const { since, leaveAt } = waiting;
        return new Promise(resolve => {
            const settle = (kind: WaitEnd["kind"]): void => {
                each.settle.delete(id);
                signal.removeEventListener("abort", onAbort);
                resolve({ kind, ticket: { since, leaveAt } });
            };
            const onAbort = (): void => {
                settle("cancelled");
                apply(service, each, { kind: "cancelled", id });
            };
            each.settle.set(id, settle);
            signal.addEventListener("abort", onAbort, { once: true });
        });
    };

    const recordEnd: RequestQueues["recordEnd"] = ({ service, notes }, ticket, end) => {
        if (ticket === undefined) {
            return;
        }
        const waitedMs = clock.now() - ticket.since;
        metrics.record("azureshunt_wait_ms", "Milliseconds for which requests waited in this VM for room.", waitedMs);
        metrics.count("azureshunt_waits_total", "Requests that waited in this VM for room, by how the wait ended.", {
            service,
            end,
        });
        notes.add("Waited for room.", { service, end, waitedMs: Math.round(waitedMs) });
    };

    const beginTry: RequestQueues["beginTry"] = ({ service, organisation }) => {
        if (!hasQueue(service)) {
            return ignoreEnd;
        }
        const each = queueOf(service);
        apply(service, each, { kind: "sent", organisation: organisation?.id });
        return () => {
            const places = each.queue.waiting.length === 0 ? 0 : placesAt(service);
            apply(service, each, { kind: "ended", organisation: organisation?.id, places });
        };
    };

    return {
        wait,
        hasMoreUrgent: ({ service, route }) =>
            queues.get(service)?.queue.waiting.some(({ priority }) => priority < route.priority) ?? false,
        recordEnd,
        beginTry,
        onLoadKnown: () => {
            queues.forEach((each, service) => {
                if (each.queue.waiting.length > 0) {
                    apply(service, each, { kind: "load-known", places: placesAt(service) });
                }
            });
        },
        close: () => {
            state.isClosed = true;
            queues.forEach((each, service) => apply(service, each, { kind: "closed" }));
        },
        size: () => [...queues.values()].reduce((sum, { queue }) => sum + queue.waiting.length, 0),
        stop: () => queues.forEach(({ unregister }) => unregister()),
    };
}
