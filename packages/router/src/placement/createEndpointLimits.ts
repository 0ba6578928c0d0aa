import type { Clock, EndpointName, ModelName, ServiceName } from "@azureshunt/core";
import {
    gatherTurns,
    hasTurn,
    learnLimit,
    limitTiming,
    nextReturn,
    NO_LIMIT,
    turnsPerRequest,
    useTurn,
} from "@azureshunt/limit";
import type { EndpointLimit, LimitRow, OfferedLoad } from "@azureshunt/limit";
import type { Metrics } from "@azureshunt/telemetry";
import type { Logger } from "pino";

import type { Beacon } from "../peers/Beacon.js";
import type { EndpointHead } from "../ports/EndpointHead.js";
import type { EndpointEntry } from "../registry/EndpointEntry.js";
import { createDemand } from "./createDemand.js";
import { offeredName } from "./offeredName.js";

/** The endpoints that could serve a request: those of a service, with a model if the request names one. */
type Pool = { readonly service: ServiceName; readonly model: ModelName | undefined; };

type LimitParts = {
    readonly clock: Clock;
    readonly random: () => number;
    readonly entryOf: (endpoint: EndpointName) => EndpointEntry | undefined;
    /** Requests in 1,000 s that the other VMs place, by the name of a pool. */
    readonly othersOffered: (name: EndpointName) => number;
    /** Number of VMs, including this one, and of those that were heard of lately. */
    readonly vms: () => Pick<OfferedLoad, "vms" | "heardVms">;
    /** Sends this VM's state to the others at once. */
    readonly sendSoon: () => void;
    readonly logger: Logger;
    readonly metrics: Metrics;
};

/** How a request came to an endpoint. */
type TryPath = "first" | "further" | "resumed";

/** Keeps the requests of all VMs within the limits that endpoints name in their answers. */
type EndpointLimits = {
    /** Records what an answer of an endpoint says of its limit. */
    readonly observe: (entry: EndpointEntry, limit: EndpointHead["limit"]) => void;
    readonly isLimited: (entry: EndpointEntry) => boolean;
    /**
     * Records a request that is about to be placed, and divides the endpoints that could take it.
     *
     * @returns the endpoints without a limit, and the limited ones where this VM has a turn
     */
    readonly select: <T extends { readonly entry: EndpointEntry; }>(
        pool: Pool,
        placeable: readonly T[],
    ) => { readonly unlimited: readonly T[]; readonly turns: readonly T[]; };
    /** Records that a request is sent to an endpoint. */
    readonly recordTry: (entry: EndpointEntry, path: TryPath) => void;
    /**
     * Returns the limited endpoints of a pool, and when a caller that was refused for them may come back; undefined if
     * there are none.
     */
    readonly refuse: (
        pool: Pool,
    ) => { readonly endpoints: readonly EndpointName[]; readonly retryAfterSeconds: number; } | undefined;
    /** Applies what a peer knows; returns whether a limit was new to this VM, or has changed. */
    readonly applyBeacon: (rows: readonly LimitRow[]) => boolean;
    /** What a beacon says of limits. */
    readonly rows: () => readonly LimitRow[];
    /** Requests in 1,000 s that this VM places in pools with limited endpoints, as rows of its load. */
    readonly offered: () => NonNullable<Beacon["load"]>;
    /** Number of endpoints that are limited. */
    readonly size: () => number;
};

const MS_PER_SECOND = 1_000;
const SECONDS_COUNTED = 1_000;
/** Fraction of the golden ratio: multiples of it are spread evenly, so that turns at several endpoints alternate. */
const PHASE_STEP = 0.618;
/** Rows of limits known for longer that are sent at a time; they are sent in rotation. */
const ROWS_AT_A_TIME = 8;
/** An endpoint that is not registered any more is forgotten after this time: its entry may expire while it serves. */
const UNREGISTERED_MS = 60_000;

const poolsOf = ({ service, versions }: EndpointEntry): readonly Pool[] =>
    versions.size === 0 ? [{ service, model: undefined }] : [...versions.keys()].map(model => ({ service, model }));

/** Creates the state in which no endpoint is limited. */
export function createEndpointLimits(parts: LimitParts): EndpointLimits {
    const { clock, random, entryOf, sendSoon, logger, metrics } = parts;
    const limits = new Map<EndpointName, EndpointLimit>();
    const demands = new Map<EndpointName, ReturnType<typeof createDemand>>();
    const lastReturns = new Map<EndpointName, number>();
    const phase = { next: random() };
    const rotation = { next: 0 };

    const limitOf = ({ name, bornAt }: EndpointEntry): EndpointLimit | undefined => {
        const limit = limits.get(name);
        return limit?.bornAt === bornAt && limit.perSecond !== undefined ? limit : undefined;
    };
    const demandOf = (name: EndpointName): ReturnType<typeof createDemand> => {
        const known = demands.get(name) ?? createDemand(clock);
        demands.set(name, known);
        return known;
    };
    const learn = (
        endpoint: EndpointName,
        statement: Parameters<typeof learnLimit>[1],
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
    const observe: EndpointLimits["observe"] = ({ name, bornAt }, limit) => {
        if (limit === "unreadable" || (limit === undefined && !limits.has(name))) {
            return;
        }
        if (learn(name, { bornAt, perSecond: limit, seenAt: clock.now() }, "endpoint")) {
            sendSoon();
        }
    };
    const limitedIn = ({ service, model }: Pool): readonly EndpointLimit[] =>
        [...limits].flatMap(([endpoint, limit]) => {
            const entry = entryOf(endpoint);
            return entry !== undefined && entry.service === service && limitOf(entry) !== undefined &&
                    (model === undefined || entry.versions.has(model))
                ? [limit]
                : [];
        });
    const loadOf = (pool: Pool): OfferedLoad => {
        const name = offeredName(pool);
        const knownSince = Math.min(...limitedIn(pool).map(({ changedAt }) => changedAt));
        return {
            ownPerSecond: demandOf(name).rate() * MS_PER_SECOND,
            othersPerSecond: parts.othersOffered(name) / SECONDS_COUNTED,
            ...parts.vms(),
            isSettling: clock.now() - knownSince < limitTiming.settleMs,
        };
    };
    const select: EndpointLimits["select"] = (pool, placeable) => {
        demandOf(offeredName(pool)).record(1);
        const limited = placeable.filter(({ entry }) => limitOf(entry) !== undefined);
        if (limited.length === 0) {
            return { unlimited: placeable, turns: [] };
        }
        const load = loadOf(pool);
        limited.forEach(({ entry }) => {
            const limit = limitOf(entry);
            if (limit?.perSecond !== undefined) {
                limits.set(entry.name, gatherTurns(limit, turnsPerRequest(limit.perSecond, load), clock.now()));
            }
        });
        return {
            unlimited: placeable.filter(({ entry }) => limitOf(entry) === undefined),
            turns: limited.filter(({ entry }) => {
                const limit = limitOf(entry);
                return limit !== undefined && hasTurn(limit);
            }),
        };
    };
    const recordTry: EndpointLimits["recordTry"] = (entry, path) => {
        const limit = limitOf(entry);
        if (limit !== undefined) {
            limits.set(entry.name, useTurn(limit, clock.now()));
            metrics.count(
                "azureshunt_tries_at_limited_total",
                "Tries at endpoints that name a limit, by how the request came there.",
                { path },
            );
        }
    };
    const refuse: EndpointLimits["refuse"] = pool => {
        const name = offeredName(pool);
        const endpoints = [...limits.keys()].filter(endpoint => {
            const entry = entryOf(endpoint);
            return entry?.service === pool.service && limitOf(entry) !== undefined;
        });
        if (endpoints.length === 0) {
            return undefined;
        }
        const load = loadOf(pool);
        const perRequest = limitedIn(pool).reduce(
            (sum, { perSecond = 0 }) => sum + turnsPerRequest(perSecond, load),
            0,
        );
        const now = clock.now();
        const returnsAt = nextReturn({
            lastAt: lastReturns.get(name) ?? -Infinity,
            perSecond: Math.max(Number.MIN_VALUE, perRequest * load.ownPerSecond),
            random: random(),
        }, now);
        lastReturns.set(name, returnsAt);
        return { endpoints, retryAfterSeconds: (returnsAt - now) / MS_PER_SECOND };
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
    const rows: EndpointLimits["rows"] = () => {
        forgetOld();
        const now = clock.now();
        const all = [...limits];
        const isNew = ([, { changedAt }]: (typeof all)[number]): boolean => now - changedAt < limitTiming.newMs;
        const older = all.filter(each => !isNew(each));
        const start = older.length === 0 ? 0 : rotation.next % older.length;
        rotation.next = start + ROWS_AT_A_TIME;
        const inTurn = [...older.slice(start), ...older.slice(0, start)].slice(0, ROWS_AT_A_TIME);
        return [...all.filter(isNew), ...inTurn].map(([endpoint, { bornAt, perSecond = NO_LIMIT, seenAt }]) =>
            [endpoint, bornAt, perSecond, Math.round(now - seenAt)] as const
        );
    };
    const offered: EndpointLimits["offered"] = () => {
        const pools = [...limits.keys()].flatMap(endpoint => {
            const entry = entryOf(endpoint);
            return entry === undefined || limitOf(entry) === undefined ? [] : poolsOf(entry);
        });
        return [...new Set(pools.map(offeredName))]
            .map(name => [name, Math.round(demandOf(name).rate() * MS_PER_SECOND * SECONDS_COUNTED)] as const)
            .filter(([, running]) => running > 0)
            .map(([name, running]) => [name, { running, waitingTokens: 0, memoryTokens: 0 }] as const);
    };
    return {
        observe,
        isLimited: entry => limitOf(entry) !== undefined,
        select,
        recordTry,
        refuse,
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
        offered,
        size: () => [...limits.values()].filter(({ perSecond }) => perSecond !== undefined).length,
    };
}
