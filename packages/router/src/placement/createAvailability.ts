import {
    availabilityAt,
    availabilityTiming,
    initialAvailability,
    learnPause,
    pauseToTell,
    recordLeaving,
    recordRefusal,
    recordSent,
    recordServed,
    returnAfterMs,
} from "@azureshunt/availability";
import type { AvailabilityRow, EndpointAvailability } from "@azureshunt/availability";
import type { Clock, EndpointName, Millis } from "@azureshunt/core";
import type { Metrics } from "@azureshunt/telemetry";
import type { Logger } from "pino";

import type { EndpointHead } from "../ports/EndpointHead.js";
import type { EndpointEntry } from "../registry/EndpointEntry.js";
import { createRotation } from "./createRotation.js";
import type { TryPath } from "./TryPath.js";

type AvailabilityParts = {
    readonly clock: Clock;
    readonly random: () => number;
    readonly entryOf: (endpoint: EndpointName) => EndpointEntry | undefined;
    /** Whether VMs reach the endpoint through others, of which this one is at one end. */
    readonly isReachedByTunnel: (entry: EndpointEntry) => boolean;
    /** Sends this VM's state to the others at once. */
    readonly sendSoon: () => void;
    readonly logger: Logger;
    readonly metrics: Metrics;
};

/** An answer of an endpoint to a request, an order, or a call for its report. */
type Answer = Pick<EndpointHead, "isLeaving" | "retryAfterMs" | "requestId"> & {
    /** Whether the endpoint itself has answered, and not an intermediary. */
    readonly isGenuine: boolean;
    /** What it shows of the endpoint's room; nothing if it answers no request. */
    readonly shows: "room" | "no-room" | "nothing";
    readonly sentAt: Millis;
};

/** Which endpoints want no requests, by what they have said of themselves in their answers. */
type Availability = {
    readonly observe: (entry: EndpointEntry, answer: Answer) => void;
    /** Records that a request is sent to an endpoint. */
    readonly recordTry: (entry: EndpointEntry, path: TryPath) => void;
    readonly isLeaving: (entry: EndpointEntry) => boolean;
    readonly isPaused: (entry: EndpointEntry) => boolean;
    /**
     * Whether a request may be sent to an endpoint now. Asked again once its connection is open, as an answer may have
     * arrived since the endpoint was chosen.
     */
    readonly maySend: (entry: EndpointEntry) => boolean;
    /** Selects the endpoints that may get a request: of those that do not want a pause, the ones that have not just refused. */
    readonly select: <T extends { readonly entry: EndpointEntry; }>(placeable: readonly T[]) => readonly T[];
    /**
     * Returns when a caller may come back whose request no endpoint can get; undefined unless all endpoints that could
     * serve it want a pause.
     */
    readonly returnAfterMs: (serving: readonly EndpointEntry[], isUrgent: boolean) => Millis | undefined;
    /** Applies what a peer knows; returns whether any of it was new to this VM. */
    readonly applyBeacon: (rows: readonly AvailabilityRow[]) => boolean;
    readonly rows: () => readonly AvailabilityRow[];
    /** Number of endpoints that have said that they leave. */
    readonly leaving: () => number;
    /** Number of endpoints that want no requests of this VM now. */
    readonly paused: () => number;
};

const NOT_LEAVING = -1;
/** Rows of endpoints that have left for longer that are sent at a time; they are sent in rotation. */
const ROWS_AT_A_TIME = 8;
/** An endpoint that is not registered any more is forgotten after this time: its entry may expire while it serves. */
const UNREGISTERED_MS: Millis = 60_000;

type Known = EndpointAvailability & {
    /** When the endpoint was last known to be registered. */
    readonly registeredAt: Millis;
};

/** Creates the state in which no endpoint has said anything. */
export function createAvailability(parts: AvailabilityParts): Availability {
    const { clock, random, entryOf, logger, metrics } = parts;
    const all = new Map<EndpointName, Known>();
    const rotate = createRotation(ROWS_AT_A_TIME);

    const known = ({ name, bornAt }: EndpointEntry): Known | undefined => {
        const state = all.get(name);
        return state?.bornAt === bornAt ? state : undefined;
    };
    /** Whether an endpoint is in one of the states; endpoints of which nothing is known are the usual case. */
    const isIn = (entry: EndpointEntry, ...states: readonly ReturnType<typeof availabilityAt>[]): boolean => {
        const state = known(entry);
        return state !== undefined && states.includes(availabilityAt(state, clock.now()));
    };
    const update = (
        endpoint: EndpointName,
        bornAt: number,
        change: (state: EndpointAvailability) => EndpointAvailability,
        source: object,
    ): boolean => {
        const last = all.get(endpoint);
        if (last !== undefined && last.bornAt > bornAt) {
            return false;
        }
        const before = last?.bornAt === bornAt ? last : initialAvailability(bornAt);
        const after = change(before);
        if (after === before) {
            return false;
        }
        const now = clock.now();
        // Without an entry it counts as gone since the statement, so that VMs do not remind each other of it for ever.
        const registeredAt = entryOf(endpoint) === undefined ? last?.registeredAt ?? after.leavingSince ?? now : now;
        all.set(endpoint, { ...after, registeredAt });
        if (after.leavingSince !== before.leavingSince) {
            logger.info({ endpoint, bornAt, ...source }, "An endpoint says that it leaves.");
        }
        if (after.toldUntil > before.toldUntil && before.toldUntil <= now) {
            const pauseMs = Math.round(after.toldUntil - now);
            logger.info({ endpoint, bornAt, pauseMs, ...source }, "An endpoint wants a pause.");
        }
        if (before.refusedInRow > 0 && after.refusedInRow === 0) {
            logger.info({ endpoint, bornAt, ...source }, "An endpoint that refused has served a request.");
        }
        return after.leavingSince !== before.leavingSince || after.toldAt !== before.toldAt;
    };

    const observe: Availability["observe"] = ({ name, bornAt }, answer) => {
        const { isLeaving, retryAfterMs, requestId, isGenuine, shows, sentAt } = answer;
        const pauseMs = typeof retryAfterMs === "number" ? retryAfterMs : undefined;
        const hasRefused = shows === "no-room" || pauseMs !== undefined;
        if (!hasRefused && !isLeaving && !all.has(name)) {
            return;
        }
        const isNew = update(name, bornAt, state => {
            const after = hasRefused
                ? recordRefusal(state, { sentAt, retryAfterMs: pauseMs }, clock.now(), random())
                : shows === "room"
                ? recordServed(state, sentAt)
                : state;
            return isLeaving && isGenuine ? recordLeaving(after, clock.now()) : after;
        }, { requestId });
        if (isNew) {
            parts.sendSoon();
        }
    };
    const recordTry: Availability["recordTry"] = (entry, path) => {
        const state = known(entry);
        if (state === undefined) {
            return;
        }
        const now = clock.now();
        const said = availabilityAt(state, now);
        if (said !== "available") {
            metrics.count(
                "azureshunt_tries_at_unavailable_total",
                "Tries at endpoints that leave, want a pause or have just refused, by how the request came there.",
                { said, path },
            );
        }
        all.set(entry.name, { ...state, ...recordSent(state, now) });
    };
    const select: Availability["select"] = placeable => {
        if (all.size === 0) {
            return placeable;
        }
        const sendable = placeable.filter(({ entry }) => !isIn(entry, "leaving", "paused"));
        const preferred = sendable.filter(({ entry }) => !isIn(entry, "avoided"));
        return preferred.length > 0 ? preferred : sendable;
    };
    const pausedUntil = (entry: EndpointEntry): Millis => known(entry)?.pausedUntil ?? -Infinity;
    const returnAfter: Availability["returnAfterMs"] = (serving, isUrgent) => {
        const now = clock.now();
        const freeAt = Math.min(...serving.map(pausedUntil));
        return serving.length === 0 || freeAt <= now
            ? undefined
            : returnAfterMs({ freeAt, isUrgent, random: random() }, now);
    };

    const forgetOld = (): void => {
        const now = clock.now();
        [...all].forEach(([endpoint, state]) => {
            const entry = entryOf(endpoint);
            if (entry !== undefined) {
                all.set(endpoint, { ...state, registeredAt: now });
            }
            const isOver = state.leavingSince === undefined && state.refusedInRow === 0
                && availabilityAt(state, now) === "available" && state.toldUntil <= now;
            const isEarlier = entry !== undefined && entry.bornAt > state.bornAt;
            if (isOver || isEarlier || (entry === undefined && now - state.registeredAt >= UNREGISTERED_MS)) {
                all.delete(endpoint);
            }
        });
    };
    const rows: Availability["rows"] = () => {
        if (all.size === 0) {
            return [];
        }
        forgetOld();
        const now = clock.now();
        const isNew = ([, state]: readonly [EndpointName, Known]): boolean =>
            pauseToTell(state, now) > 0 || now - (state.leavingSince ?? -Infinity) < availabilityTiming.newMs;
        const states = [...all];
        const older = states.filter(each => each[1].leavingSince !== undefined && !isNew(each));
        return [...states.filter(isNew), ...rotate(older)].map(([endpoint, state]) => [
            endpoint,
            state.bornAt,
            state.leavingSince === undefined ? NOT_LEAVING : Math.round(now - state.leavingSince),
            Math.round(pauseToTell(state, now)),
        ]);
    };
    const applyBeacon: Availability["applyBeacon"] = received =>
        received
            .map(([endpoint, bornAt, leavingAgeMs, pauseMs]) =>
                update(endpoint, bornAt, state => {
                    const now = clock.now();
                    const entry = entryOf(endpoint);
                    const isShared = entry !== undefined && parts.isReachedByTunnel(entry);
                    const after = pauseMs > 0 ? learnPause(state, { pauseMs, isShared }, now, random()) : state;
                    return leavingAgeMs === NOT_LEAVING ? after : recordLeaving(after, now - leavingAgeMs);
                }, { source: "peer" })
            )
            .includes(true);

    const count = (said: ReturnType<typeof availabilityAt>): number =>
        [...all.values()].filter(state => availabilityAt(state, clock.now()) === said).length;
    return {
        observe,
        recordTry,
        isLeaving: entry => all.size > 0 && isIn(entry, "leaving"),
        isPaused: entry => all.size > 0 && isIn(entry, "paused"),
        maySend: entry => !isIn(entry, "leaving", "paused"),
        select,
        returnAfterMs: returnAfter,
        applyBeacon,
        rows,
        leaving: () => count("leaving"),
        paused: () => count("paused"),
    };
}
