import { availabilityAt, availabilityTiming, initialAvailability, recordLeaving } from "@azureshunt/availability";
import type { AvailabilityRow, EndpointAvailability } from "@azureshunt/availability";
import type { Clock, EndpointName, Millis } from "@azureshunt/core";
import type { Metrics } from "@azureshunt/telemetry";
import type { Logger } from "pino";

import type { EndpointHead } from "../ports/EndpointHead.js";
import type { EndpointEntry } from "../registry/EndpointEntry.js";

type AvailabilityParts = {
    readonly clock: Clock;
    readonly entryOf: (endpoint: EndpointName) => EndpointEntry | undefined;
    /** Sends this VM's state to the others at once. */
    readonly sendSoon: () => void;
    readonly logger: Logger;
    readonly metrics: Metrics;
};

/** How a request came to an endpoint. */
type TryPath = "first" | "further" | "resumed";

/** A genuine answer of an endpoint to a request. */
type Answer = Pick<EndpointHead, "isLeaving" | "requestId">;

/** Which endpoints want no requests, by what they have said of themselves in their answers. */
type Availability = {
    readonly observe: (entry: EndpointEntry, answer: Answer) => void;
    /** Records that a request is sent to an endpoint. */
    readonly recordTry: (entry: EndpointEntry, path: TryPath) => void;
    readonly isLeaving: (entry: EndpointEntry) => boolean;
    /**
     * Whether a request may be sent to an endpoint now. Asked again once its connection is open, as an answer may have
     * arrived since the endpoint was chosen.
     */
    readonly maySend: (entry: EndpointEntry) => boolean;
    /** Selects the endpoints that may get a request. */
    readonly select: <T extends { readonly entry: EndpointEntry; }>(placeable: readonly T[]) => readonly T[];
    /** Applies what a peer knows; returns whether any of it was new to this VM. */
    readonly applyBeacon: (rows: readonly AvailabilityRow[]) => boolean;
    readonly rows: () => readonly AvailabilityRow[];
    /** Number of endpoints that have said that they leave. */
    readonly leaving: () => number;
};

/** Rows of endpoints that have left for longer that are sent at a time; they are sent in rotation. */
const ROWS_AT_A_TIME = 8;
/** An endpoint that is not registered any more is forgotten after this time: its entry may expire while it serves. */
const UNREGISTERED_MS: Millis = 60_000;

type Known = EndpointAvailability & { readonly registeredAt: Millis; };

/** Creates the state in which no endpoint has said anything. */
export function createAvailability(parts: AvailabilityParts): Availability {
    const { clock, entryOf, logger, metrics } = parts;
    const all = new Map<EndpointName, Known>();
    const rotation = { next: 0 };

    const known = ({ name, bornAt }: EndpointEntry): Known | undefined => {
        const state = all.get(name);
        return state?.bornAt === bornAt ? state : undefined;
    };
    const isLeaving = (entry: EndpointEntry): boolean => {
        const state = known(entry);
        return state !== undefined && availabilityAt(state) === "leaving";
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
        all.set(endpoint, { ...after, registeredAt: clock.now() });
        logger.info({ endpoint, bornAt, ...source }, "An endpoint says that it leaves.");
        return true;
    };

    const observe: Availability["observe"] = ({ name, bornAt }, answer) => {
        const { isLeaving: saysThatItLeaves, requestId } = answer;
        // An intermediary may have answered if no request is named.
        if (!saysThatItLeaves || requestId === undefined) {
            return;
        }
        if (update(name, bornAt, state => recordLeaving(state, clock.now()), { requestId })) {
            parts.sendSoon();
        }
    };
    const recordTry: Availability["recordTry"] = (entry, path) => {
        if (isLeaving(entry)) {
            metrics.count(
                "azureshunt_tries_at_unavailable_total",
                "Tries at endpoints that leave, by how the request came there.",
                { said: "leaving", path },
            );
        }
    };
    const select: Availability["select"] = placeable =>
        all.size === 0 ? placeable : placeable.filter(({ entry }) => !isLeaving(entry));

    const forgetOld = (): void => {
        const now = clock.now();
        [...all].forEach(([endpoint, state]) => {
            const entry = entryOf(endpoint);
            if (entry !== undefined) {
                all.set(endpoint, { ...state, registeredAt: now });
            }
            const isEarlier = entry !== undefined && entry.bornAt > state.bornAt;
            if (isEarlier || (entry === undefined && now - state.registeredAt >= UNREGISTERED_MS)) {
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
            now - (state.leavingSince ?? -Infinity) < availabilityTiming.newMs;
        const states = [...all];
        const older = states.filter(each => !isNew(each));
        const start = older.length === 0 ? 0 : rotation.next % older.length;
        rotation.next = start + ROWS_AT_A_TIME;
        const inTurn = [...older.slice(start), ...older.slice(0, start)].slice(0, ROWS_AT_A_TIME);
        return [...states.filter(isNew), ...inTurn].map(([endpoint, state]) => [
            endpoint,
            state.bornAt,
            Math.round(now - (state.leavingSince ?? now)),
        ]);
    };
    const applyBeacon: Availability["applyBeacon"] = received =>
        received
            .map(([endpoint, bornAt, leavingAgeMs]) =>
                update(endpoint, bornAt, state => recordLeaving(state, clock.now() - leavingAgeMs), { source: "peer" })
            )
            .includes(true);

    return {
        observe,
        recordTry,
        isLeaving,
        maySend: entry => !isLeaving(entry),
        select,
        applyBeacon,
        rows,
        leaving: () => [...all.values()].filter(state => availabilityAt(state) === "leaving").length,
    };
}
