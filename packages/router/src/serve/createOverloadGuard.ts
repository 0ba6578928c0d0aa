import type { IncomingMessage } from "node:http";
import type { Duplex } from "node:stream";

import type { Clock, Millis, OrganisationId, ServiceName } from "@azureshunt/core";
import {
    admits,
    divideShed,
    forecastRoom,
    initialLoad,
    initialReturns,
    recordAnswer,
    refusedFractionOf,
    retryAfterOf,
    shedEndsInMs,
    shortestAnswer,
    stepLoad,
    stepReturns,
    waitedMs,
} from "@azureshunt/overload";
import type { AnswerTimes, KindArrivals, LoadState, ReturnSchedule } from "@azureshunt/overload";

import type { Route } from "../configuration/Route.js";
import type { createTickLag } from "./createTickLag.js";

type RouteKind = Pick<Route, "name" | "priority" | "objectiveMs">;

/** What is known at a request's head. */
type Head = {
    /** Bounds of the time for which it has waited unread. */
    readonly waited: ReturnType<typeof waitedMs>;
    /** Resolves when it is the request's turn; `undefined` if that is at once. */
    readonly turn: Promise<void> | undefined;
    /** Whose key it has; `undefined` if none is valid. */
    readonly organisation: OrganisationId | undefined;
};

/** Fractions of requests that are refused for lack of CPU time. */
type RefusedFractions = { readonly ofOrganisation: number; readonly ofKind: number; };

type GuardParts = {
    readonly clock: Clock;
    readonly random: () => number;
    /** Lag of the shared timer; it ticks before the guard does. */
    readonly lag: Pick<ReturnType<typeof createTickLag>, "intervalMs" | "times" | "overdueMs">;
};

type Waiting = { readonly priority: number; readonly start: () => void; };

type RefusedRequest = {
    readonly service: ServiceName | undefined;
    readonly route: Pick<Route, "priority" | "objectiveMs">;
    readonly timeLeftMs: Millis;
    /** Time until there is room, if the load stays the same; `undefined` if that is not known. */
    readonly roomInMs: Millis | undefined;
};

/** Decides which requests this VM reads while it is short of CPU time. */
type OverloadGuard = {
    /** To be called at every interval. */
    readonly tick: () => void;
    /** To be called for each connection that a caller opens. */
    readonly recordAccepted: (connection: Duplex) => void;
    /** To be called once for each request's head. */
    readonly enter: (
        req: IncomingMessage,
        route: RouteKind | undefined,
        organisation?: OrganisationId,
    ) => Head;
    readonly admits: (route: RouteKind | undefined, head: Head) => boolean;
    /** Returns what is refused of the requests of a kind, and of those of one organisation among them. */
    readonly refusedFractions: (
        route: Pick<Route, "name" | "priority">,
        organisation: OrganisationId | undefined,
    ) => RefusedFractions;
    /** Divides a fraction of the recent requests of the named routes over them and their organisations. */
    readonly divide: (names: ReadonlySet<string>, fraction: number) => Pick<LoadState, "kinds" | "priorities">;
    /** Records the time from the sending of a request until its answer began, unless this VM has run late. */
    readonly recordAnswer: (route: Pick<Route, "name">, answerMs: Millis) => void;
    /** Shortest time in which an endpoint has lately answered a request of this kind; 0 if none has. */
    readonly shortestAnswerMs: (route: Pick<Route, "name">) => Millis;
    /** Records that a request is sent to an endpoint of a service. */
    readonly recordSent: (service: ServiceName) => void;
    /** Returns after how many seconds the caller of a refused request is to come back, and records that it will. */
    readonly retryAfterSeconds: (refused: RefusedRequest) => number;
    /** In what time this VM refuses nothing any more if it has enough CPU time from now on. */
    readonly shedEndsInMs: () => Millis;
    readonly lagMs: () => Millis;
    readonly shedFraction: () => number;
    /** Most organisations, or callers without a valid key, between which one priority is divided. */
    readonly groups: () => number;
};

/** Recent lag from which an answer may have waited unread, so that it says nothing of the endpoint. */
const MAX_ANSWER_LAG_MS: Millis = 25;

/** Creates the guard of a VM against overload. */
export function createOverloadGuard({ clock, random, lag }: GuardParts): OverloadGuard {
    const { intervalMs } = lag;
    const state = {
        load: initialLoad(),
        isAfterTick: false,
        /** By the names of kinds, and by organisations. */
        arrivals: new Map<string, Map<OrganisationId | undefined, KindArrivals>>(),
        waiting: [] as Waiting[],
    };
    const acceptedAt = new WeakMap<Duplex, Millis>();
    const answers = new Map<string, AnswerTimes>();
    const returns = new Map<ServiceName | undefined, ReturnSchedule>();
    const returnsOf = (service: ServiceName | undefined): ReturnSchedule =>
        returns.get(service) ?? initialReturns(clock.now());
    const kindOf = ({ name, priority, objectiveMs }: RouteKind) => ({ name, priority, objectiveMs });

    /** Marks the two turns of the event loop after a late tick, in which what has waited during it is read. */
    const markTurns = (): void => {
        const { tickAt } = lag.times();
        const unmark = (): void => {
            state.isAfterTick &&= lag.times().tickAt !== tickAt;
        };
        state.isAfterTick = true;
        setImmediate(() => setImmediate(unmark));
    };
    const startWaiting = (): void => {
        const ready = state.waiting.sort((a, b) => a.priority - b.priority);
        state.waiting = [];
        ready.forEach(({ start }) => start());
    };
    /** Heads that are read in one turn of the event loop go on in the order of their urgency once all are read. */
    const waitForTurn = (priority: number): Promise<void> =>
        new Promise(resolve => {
            if (state.waiting.length === 0) {
                setImmediate(startWaiting);
            }
            state.waiting.push({ priority, start: resolve });
        });
    const recordArrival = (route: RouteKind, organisation: OrganisationId | undefined): void => {
        const ofKind = state.arrivals.get(route.name) ?? new Map<OrganisationId | undefined, KindArrivals>();
        const known = ofKind.get(organisation);
        ofKind.set(
            organisation,
            known === undefined
                ? { kind: kindOf(route), organisation, count: 1 }
                : { kind: known.kind, organisation, count: known.count + 1 },
        );
        if (known === undefined) {
            state.arrivals.set(route.name, ofKind);
        }
    };

    return {
        tick: () => {
            const ticks = lag.times();
            const arrivals = [...state.arrivals.values()].flatMap(ofKind => [...ofKind.values()]);
            state.load = stepLoad(state.load, { kind: "tick", ticks, arrivals });
            state.arrivals.clear();
            state.isAfterTick = false;
            if (ticks.lagMs >= intervalMs) {
                markTurns();
            }
        },
        recordAccepted: connection => void acceptedAt.set(connection, clock.now()),
        enter: (req, route, organisation) => {
            const { socket } = req;
            const read = { acceptedAt: acceptedAt.get(socket), isAfterTick: state.isAfterTick };
            const waited = waitedMs(lag.times(), intervalMs, read, clock.now());
            acceptedAt.delete(socket);
            if (route === undefined) {
                return { waited, turn: undefined, organisation };
            }
            recordArrival(route, organisation);
            const isLate = waited.most > 0 || state.load.shedFraction > 0;
            return { waited, turn: isLate ? waitForTurn(route.priority) : undefined, organisation };
        },
        admits: (route, { waited, organisation }) =>
            route === undefined ||
            admits(state.load, { kind: route, organisation, waitedMs: waited.least, draw: random() }),
        refusedFractions: (route, organisation) => ({
            ofOrganisation: refusedFractionOf(state.load, route, organisation),
            ofKind: state.load.kinds.get(route.name)?.refusedFraction ?? 0,
        }),
        divide: (names, fraction) => {
            const { kinds, priorities } = state.load;
            const divided = divideShed(
                [...kinds.values()].filter(({ kind }) => names.has(kind.name)),
                priorities,
                fraction,
            );
            return {
                kinds: new Map(divided.kinds.map(load => [load.kind.name, load])),
                priorities: divided.priorities,
            };
        },
        recordAnswer: ({ name }, answerMs) => {
            if (Math.max(state.load.peakLagMs, lag.overdueMs()) < MAX_ANSWER_LAG_MS) {
                answers.set(name, recordAnswer(answers.get(name), answerMs, clock.now()));
            }
        },
        shortestAnswerMs: ({ name }) => shortestAnswer(answers.get(name), clock.now()),
        recordSent: service =>
            void returns.set(service, stepReturns(returnsOf(service), { kind: "sent" }, clock.now())),
        retryAfterSeconds: ({ service, route, timeLeftMs, roomInMs }) => {
            const { priority, objectiveMs } = route;
            // The refused caller is counted after its own turn is computed.
            const schedule = returnsOf(service);
            const forecast = forecastRoom(schedule, priority, roomInMs);
            // One without time left does not come back.
            if (timeLeftMs > 0) {
                returns.set(service, stepReturns(schedule, { kind: "refused", priority }, clock.now()));
            }
            return retryAfterOf(forecast, { timeLeftMs, objectiveMs }, random());
        },
        shedEndsInMs: () => shedEndsInMs(state.load),
        lagMs: () => lag.times().lagMs,
        shedFraction: () => state.load.shedFraction,
        groups: () => Math.max(0, ...[...state.load.priorities.values()].map(({ recents }) => recents.size)),
    };
}
