import type { Clock, EndpointName } from "@azureshunt/core";
import { learnLimit, limitTiming, NO_LIMIT } from "@azureshunt/limit";
import type { EndpointLimit, LimitRow, LimitStatement } from "@azureshunt/limit";
import type { Logger } from "pino";

import type { EndpointHead } from "../ports/EndpointHead.js";
import type { EndpointEntry } from "../registry/EndpointEntry.js";
import { createRotation } from "./createRotation.js";

type KnowledgeParts = {
    readonly clock: Clock;
    readonly random: () => number;
    readonly entryOf: (endpoint: EndpointName) => EndpointEntry | undefined;
    /** Sends this VM's state to the others at once. */
    readonly sendSoon: () => void;
    readonly logger: Logger;
};

/** A limit that is in force. */
type ActiveLimit = EndpointLimit & { readonly perSecond: number; };

/** What this VM knows of the limits of all endpoints, from its own answers and from the others. */
type LimitKnowledge = {
    /** The limit of the endpoint's current incarnation; undefined if it has none. */
    readonly of: (entry: EndpointEntry) => ActiveLimit | undefined;
    /** Registered endpoints that are limited. */
    readonly limited: () => readonly { readonly entry: EndpointEntry; readonly limit: ActiveLimit; }[];
    /** Replaces what is known of an endpoint, as its turns have changed. */
    readonly update: (endpoint: EndpointName, limit: EndpointLimit) => void;
    /** Records what an answer of an endpoint says of its limit. */
    readonly observe: (entry: EndpointEntry, limit: EndpointHead["limit"]) => void;
    /** Applies what a peer knows; returns whether a limit was new to this VM, or has changed. */
    readonly applyBeacon: (rows: readonly LimitRow[]) => boolean;
    /** What a beacon says of limits. */
    readonly rows: () => readonly LimitRow[];
};

/** Fraction of the golden ratio: multiples of it are spread evenly, so that turns at several endpoints alternate. */
const PHASE_STEP = 0.618;
/** Rows of limits known for longer that are sent at a time; they are sent in rotation. */
const ROWS_AT_A_TIME = 8;
/** An endpoint that is not registered any more is forgotten after this time: its entry may expire while it serves. */
const UNREGISTERED_MS = 60_000;

const isActive = (limit: EndpointLimit): limit is ActiveLimit => limit.perSecond !== undefined;

/** Creates the state in which no endpoint is limited. */
export function createLimitKnowledge(parts: KnowledgeParts): LimitKnowledge {
    const { clock, entryOf, sendSoon, logger } = parts;
    const limits = new Map<EndpointName, EndpointLimit>();
    const phase = { next: parts.random() };
    const rotate = createRotation(ROWS_AT_A_TIME);

    const of: LimitKnowledge["of"] = ({ name, bornAt }) => {
        const limit = limits.get(name);
        return limit?.bornAt === bornAt && isActive(limit) ? limit : undefined;
    };
    const learn = (
        endpoint: EndpointName,
        statement: LimitStatement,
        source: "endpoint" | "peer",
    ): boolean => {
        const before = limits.get(endpoint);
        const after = learnLimit(before, statement, phase.next, clock.now());
        if (after === undefined || after === before) {
            return false;
        }
        limits.set(endpoint, after);
        if (before?.perSecond === after.perSecond) {
            return false;
        }
        phase.next = (phase.next + PHASE_STEP) % 1;
        const { bornAt, perSecond } = after;
        logger.info(
            { endpoint, bornAt, perSecond, before: before?.perSecond, source },
            perSecond === undefined ? "An endpoint is no longer limited." : "An endpoint is limited.",
        );
        return true;
    };
    const observe: LimitKnowledge["observe"] = ({ name, bornAt }, limit) => {
        if (limit === "unreadable" || (limit === undefined && !limits.has(name))) {
            return;
        }
        if (learn(name, { bornAt, perSecond: limit, seenAt: clock.now() }, "endpoint")) {
            sendSoon();
        }
    };
    const forgetOld = (): void => {
        const now = clock.now();
        [...limits]
            .filter(([endpoint, { perSecond, changedAt, seenAt }]) =>
                perSecond === undefined
                    ? now - changedAt >= limitTiming.endedMs
                    : entryOf(endpoint) === undefined && now - seenAt >= UNREGISTERED_MS
            )
            .forEach(([endpoint]) => limits.delete(endpoint));
    };
    const rows: LimitKnowledge["rows"] = () => {
        forgetOld();
        const now = clock.now();
        const all = [...limits];
        const isNew = ([, { changedAt }]: (typeof all)[number]): boolean => now - changedAt < limitTiming.newMs;
        const older = all.filter(each => !isNew(each));
        return [...all.filter(isNew), ...rotate(older)].map(([endpoint, { bornAt, perSecond = NO_LIMIT, seenAt }]) =>
            [endpoint, bornAt, perSecond, Math.round(now - seenAt)] as const
        );
    };
    return {
        of,
        limited: () =>
            [...limits.keys()].flatMap(endpoint => {
                const entry = entryOf(endpoint);
                const limit = entry === undefined ? undefined : of(entry);
                return entry === undefined || limit === undefined ? [] : [{ entry, limit }];
            }),
        update: (endpoint, limit) => void limits.set(endpoint, limit),
        observe,
        applyBeacon: received => {
            const now = clock.now();
            return received
                .map(([endpoint, bornAt, perSecond, ageMs]) =>
                    learn(
                        endpoint,
                        { bornAt, perSecond: perSecond < 0 ? undefined : perSecond, seenAt: now - ageMs },
                        "peer",
                    )
                )
                .includes(true);
        },
        rows,
    };
}
