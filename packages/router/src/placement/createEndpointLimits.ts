import type { Clock, EndpointName } from "@azureshunt/core";
import {
    gatherTurns,
    hasTurn,
    isExhausted,
    lapseTurns,
    learnLimit,
    limitTiming,
    nextReturn,
    NO_LIMIT,
    sentLately,
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
import { limitRowNames } from "./limitRowNames.js";

type LimitParts = {
    readonly clock: Clock;
    readonly random: () => number;
    readonly entryOf: (endpoint: EndpointName) => EndpointEntry | undefined;
    /** Number in the rows with a name that the other VMs sent with their load, added up. */
    readonly sumOfOthers: (row: EndpointName) => number;
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
     * Divides the endpoints that could take a request, which gathers a part of a turn at each limited one.
     *
     * @returns the endpoints without a limit, and the limited ones where this VM has a turn
     */
    readonly select: <T extends { readonly entry: EndpointEntry; }>(
        pool: Pool,
        placeable: readonly T[],
    ) => { readonly unlimited: readonly T[]; readonly turns: readonly T[]; };
    /** Records a request that has been placed, or could not be; after `select`, as it counts for much of a small load. */
    readonly recordPlaced: (pool: Pool) => void;
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
    /** Requests that this VM places in pools with limited endpoints, and sends to these, as rows of its load. */
    readonly loadRows: () => NonNullable<Beacon["load"]>;
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

/** Requests that this VM places in a pool, now and some seconds ago. */
type PoolDemand = Readonly<Record<"now" | "earlier", ReturnType<typeof createDemand>>>;

type Pool = Parameters<typeof limitRowNames.offered>[0];

const poolsOf = ({ service, versions }: EndpointEntry): readonly Pool[] =>
    versions.size === 0 ? [{ service, model: undefined }] : [...versions.keys()].map(model => ({ service, model }));

/** Creates the state in which no endpoint is limited. */
export function createEndpointLimits(parts: LimitParts): EndpointLimits {
    const { clock, random, entryOf, sendSoon, logger, metrics } = parts;
    const limits = new Map<EndpointName, EndpointLimit>();
    const demands = new Map<EndpointName, PoolDemand>();
    const lastReturns = new Map<EndpointName, number>();
    const phase = { next: random() };
    const rotation = { next: 0 };

    const limitOf = ({ name, bornAt }: EndpointEntry): EndpointLimit | undefined => {
        const limit = limits.get(name);
        return limit?.bornAt === bornAt && limit.perSecond !== undefined ? limit : undefined;
    };
    const demandOf = (name: EndpointName): PoolDemand => {
        const known = demands.get(name) ?? {
            now: createDemand(clock, limitTiming.loadMs),
            earlier: createDemand(clock, limitTiming.earlierLoadMs),
        };
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
        const name = limitRowNames.offered(pool);
        const demand = demandOf(name);
        const knownSince = Math.min(...limitedIn(pool).map(({ changedAt }) => changedAt));
        return {
            ownPerSecond: demand.now.rate() * MS_PER_SECOND,
            ownEarlier: demand.earlier.rate() * MS_PER_SECOND,
            othersPerSecond: parts.sumOfOthers(name) / SECONDS_COUNTED,
            ...parts.vms(),
            isSettling: clock.now() - knownSince < limitTiming.settleMs,
        };
    };
    const select: EndpointLimits["select"] = (pool, placeable) => {
        const limited = limits.size === 0 ? [] : placeable.filter(({ entry }) => limitOf(entry) !== undefined);
        if (limited.length === 0) {
            return { unlimited: placeable, turns: [] };
        }
        const load = loadOf(pool);
        const now = clock.now();
        limited.forEach(({ entry: { name } }) => {
            const limit = limits.get(name);
            if (limit?.perSecond !== undefined) {
                const sent = sentLately(limit, now) + parts.sumOfOthers(limitRowNames.sent(name));
                limits.set(
                    name,
                    isExhausted(limit.perSecond, sent)
                        ? lapseTurns(limit)
                        : gatherTurns(limit, turnsPerRequest(limit.perSecond, load), now),
                );
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
        const name = limitRowNames.offered(pool);
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
    const loadRows: EndpointLimits["loadRows"] = () => {
        const now = clock.now();
        const limited = [...limits.keys()].flatMap(endpoint => {
            const entry = entryOf(endpoint);
            const limit = entry === undefined ? undefined : limitOf(entry);
            return entry === undefined || limit === undefined ? [] : [{ entry, limit }];
        });
        const offered = new Set(limited.flatMap(({ entry }) => poolsOf(entry)).map(limitRowNames.offered));
        return [
            ...[...offered].map(name =>
                [name, Math.round(demandOf(name).now.rate() * MS_PER_SECOND * SECONDS_COUNTED)] as const
            ),
            ...limited.map(({ entry, limit }) => [limitRowNames.sent(entry.name), sentLately(limit, now)] as const),
        ]
            .filter(([, running]) => running > 0)
            .map(([name, running]) => [name, { running, waitingTokens: 0, memoryTokens: 0 }] as const);
    };
    return {
        observe,
        isLimited: entry => limitOf(entry) !== undefined,
        select,
        recordPlaced: pool => {
            const demand = demandOf(limitRowNames.offered(pool));
            [demand.now, demand.earlier].forEach(each => each.record(1));
        },
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
        loadRows,
        size: () => [...limits.values()].filter(({ perSecond }) => perSecond !== undefined).length,
    };
}
