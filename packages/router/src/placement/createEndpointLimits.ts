import type { Clock, EndpointName } from "@azureshunt/core";
import {
    gatherTurns,
    hasTurn,
    isExhausted,
    lapseTurns,
    limitTiming,
    nextReturn,
    sentLately,
    turnsPerRequest,
    useTurn,
} from "@azureshunt/limit";
import type { OfferedLoad } from "@azureshunt/limit";
import type { Metrics } from "@azureshunt/telemetry";
import type { Logger } from "pino";

import type { Beacon } from "../peers/Beacon.js";
import type { EndpointEntry } from "../registry/EndpointEntry.js";
import { createDemand } from "./createDemand.js";
import { createLimitKnowledge } from "./createLimitKnowledge.js";
import { limitRowNames } from "./limitRowNames.js";
import type { TryPath } from "./TryPath.js";

type LimitParts = {
    readonly clock: Clock;
    readonly random: () => number;
    readonly entryOf: (endpoint: EndpointName) => EndpointEntry | undefined;
    /** Number in the rows with a name that the other VMs sent with their load, added up. */
    readonly sumOfOthers: (row: EndpointName) => number;
    /** Number of VMs, including this one, and of those that are silent. */
    readonly vms: () => Pick<OfferedLoad, "vms" | "silentVms">;
    /** Sends this VM's state to the others at once. */
    readonly sendSoon: () => void;
    readonly logger: Logger;
    readonly metrics: Metrics;
};

/** Keeps the requests of all VMs within the limits that endpoints name in their answers. */
type EndpointLimits = Pick<ReturnType<typeof createLimitKnowledge>, "observe" | "applyBeacon" | "rows"> & {
    readonly isLimited: (entry: EndpointEntry) => boolean;
    /**
     * Divides the endpoints that could take a request, which gathers a part of a turn at each limited one.
     *
     * @param isPlacedAgain whether the request has gathered its part already, as it was placed before it waited
     * @returns the endpoints without a limit, and the limited ones where this VM has a turn
     */
    readonly select: <T extends { readonly entry: EndpointEntry; }>(
        pool: Pool,
        placeable: readonly T[],
        isPlacedAgain?: boolean,
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
    /** Requests that this VM places in pools with limited endpoints, and sends to these, as rows of its load. */
    readonly loadRows: () => NonNullable<Beacon["load"]>;
    /** Number of endpoints that are limited. */
    readonly size: () => number;
};

const MS_PER_SECOND = 1_000;
const SECONDS_COUNTED = 1_000;

/** Requests that this VM places in a pool, now and some seconds ago. */
type PoolDemand = Readonly<Record<"now" | "earlier", ReturnType<typeof createDemand>>>;

type Pool = Parameters<typeof limitRowNames.offered>[0];

const poolsOf = ({ service, versions }: EndpointEntry): readonly Pool[] =>
    versions.size === 0 ? [{ service, model: undefined }] : [...versions.keys()].map(model => ({ service, model }));

/** Creates the state in which no endpoint is limited. */
export function createEndpointLimits(parts: LimitParts): EndpointLimits {
    const { clock, random, metrics } = parts;
    const limits = createLimitKnowledge(parts);
    const demands = new Map<EndpointName, PoolDemand>();
    const lastReturns = new Map<EndpointName, number>();
    const demandOf = (name: EndpointName): PoolDemand => {
        const known = demands.get(name) ?? {
            now: createDemand(clock, limitTiming.loadMs),
            earlier: createDemand(clock, limitTiming.earlierLoadMs),
        };
        demands.set(name, known);
        return known;
    };
    const limitedIn = ({ service, model }: Pool): ReturnType<typeof limits.limited> =>
        limits.limited().filter(({ entry }) =>
            entry.service === service && (model === undefined || entry.versions.has(model))
        );
    const loadOf = (pool: Pool, limited: ReturnType<typeof limitedIn>): OfferedLoad => {
        const name = limitRowNames.offered(pool);
        const demand = demandOf(name);
        const knownSince = Math.min(...limited.map(({ limit }) => limit.changedAt));
        return {
            ownPerSecond: demand.now.rate() * MS_PER_SECOND,
            ownEarlier: demand.earlier.rate() * MS_PER_SECOND,
            othersPerSecond: parts.sumOfOthers(name) / SECONDS_COUNTED,
            ...parts.vms(),
            isSettling: clock.now() - knownSince < limitTiming.settleMs,
        };
    };
    const select: EndpointLimits["select"] = (pool, placeable, isPlacedAgain = false) => {
        const limited = placeable.filter(({ entry }) => limits.of(entry) !== undefined);
        if (limited.length === 0) {
            return { unlimited: placeable, turns: [] };
        }
        const load = loadOf(pool, limitedIn(pool));
        const now = clock.now();
        const turns = limited.filter(({ entry }) => {
            const limit = limits.of(entry);
            if (limit === undefined) {
                return false;
            }
            const sent = sentLately(limit, now) + parts.sumOfOthers(limitRowNames.sent(entry.name));
            const next = isExhausted(limit.perSecond, sent)
                ? lapseTurns(limit)
                : gatherTurns(limit, isPlacedAgain ? 0 : turnsPerRequest(limit.perSecond, load), now);
            limits.update(entry.name, next);
            return hasTurn(next);
        });
        return { unlimited: placeable.filter(({ entry }) => limits.of(entry) === undefined), turns };
    };
    const recordTry: EndpointLimits["recordTry"] = (entry, path) => {
        const limit = limits.of(entry);
        if (limit !== undefined) {
            limits.update(entry.name, useTurn(limit, clock.now()));
            metrics.count(
                "azureshunt_tries_at_limited_total",
                "Tries at endpoints that name a limit, by how the request came there.",
                { path },
            );
        }
    };
    const refuse: EndpointLimits["refuse"] = pool => {
        const name = limitRowNames.offered(pool);
        const limited = limitedIn(pool);
        if (limited.length === 0) {
            return undefined;
        }
        const load = loadOf(pool, limited);
        const perRequest = limited.reduce((sum, { limit }) => sum + turnsPerRequest(limit.perSecond, load), 0);
        const now = clock.now();
        const returnsAt = nextReturn({
            lastAt: lastReturns.get(name) ?? -Infinity,
            perSecond: Math.max(Number.MIN_VALUE, perRequest * load.ownPerSecond),
            random: random(),
        }, now);
        lastReturns.set(name, returnsAt);
        return {
            endpoints: limited.map(({ entry }) => entry.name),
            retryAfterSeconds: (returnsAt - now) / MS_PER_SECOND,
        };
    };
    const loadRows: EndpointLimits["loadRows"] = () => {
        const now = clock.now();
        const limited = limits.limited();
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
        observe: limits.observe,
        applyBeacon: limits.applyBeacon,
        rows: limits.rows,
        isLimited: entry => limits.of(entry) !== undefined,
        select,
        recordPlaced: pool => {
            const demand = demandOf(limitRowNames.offered(pool));
            [demand.now, demand.earlier].forEach(each => each.record(1));
        },
        recordTry,
        refuse,
        loadRows,
        size: () => limits.limited().length,
    };
}
