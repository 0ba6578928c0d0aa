import type { Clock, EndpointName, Millis, ModelName, Tokens, VmId } from "@azureshunt/core";
import { rendezvousOrder } from "@azureshunt/core";

import type { PrefixPart } from "../placement/PrefixPart.js";
import type { Beacon } from "./Beacon.js";
import type { RelayedRows } from "./RelayedRows.js";
import type { VmRole } from "./VmRole.js";

type RelayScope = "domain" | "fleet";
type RowUpdate = Pick<Beacon, "cached" | "ordered">;
type Order = {
    readonly version: number;
    readonly issuedAt: Millis;
    readonly receivedAt: Millis;
    /** The model as the received row names it. */
    readonly model: readonly [ModelName?];
};
type Buffered = {
    readonly cached: Map<string, Map<string, Tokens>>;
    /** One of each engine, as it carries out one at a time. */
    readonly orders: Map<EndpointName, Order>;
    /** Number of rows of `cached`, each time it is received. */
    received: number;
};

type RelayBufferParts = {
    readonly clock: Clock;
    readonly vm: VmId;
    readonly relays: () => readonly VmId[];
    /** Time between two beacons to one VM. */
    readonly beaconIntervalMs: () => Millis;
};

/** State that a relay sends on row by row. */
type RelayBuffer = {
    readonly applyBeacon: (beacon: RowUpdate, role: VmRole) => void;
    /** Returns the prompt parts that were received since the last call. */
    readonly drainCached: (scope: RelayScope) => RelayedRows["cached"];
    /** Orders that engines execute now, as they were last received. */
    readonly ordered: (scope: RelayScope) => RelayedRows["ordered"];
    /** Number of rows that are buffered. */
    readonly size: () => number;
};

/** Names of which it is remembered whether they are in this relay's share; several times those of a fleet. */
const MAX_NAMES = 4_096;

/** Prompt parts that are buffered in a round at most, some 100 bytes each; those beyond it cost a second prefill at most. */
const MAX_PARTS = 40_000;

const emptyBuffer = (): Buffered => ({ cached: new Map(), orders: new Map(), received: 0 });

const rowsOf = (cached: Buffered["cached"]): RelayedRows["cached"] =>
    [...cached].map(([holder, parts]) =>
        [holder, [...parts].map(([key, tokens]): PrefixPart => ({ key, tokens }))] as const
    );

/**
 * Buffers the rows that a relay sends on: from its failure domain to the others, and from all VMs to its failure
 * domain. Relays that receive the same rows divide the prompt parts among themselves by holder: the engine or the cache
 * store that has them. Parts that are lost when a relay dies cost at most a second prefill.
 */
export function createRelayBuffer({ clock, vm, relays, beaconIntervalMs }: RelayBufferParts): RelayBuffer {
    const buffered = { domain: emptyBuffer(), fleet: emptyBuffer() };
    /**
     * Whether a holder is in this relay's share; cached while the relays stay the same, as each row of each beacon
     * needs it.
     */
    const shares = { relays: "", own: new Map<string, boolean>() };
    const isOwnShare = (holder: string): boolean => {
        const names = relays().join();
        shares.own = names === shares.relays && shares.own.size < MAX_NAMES ? shares.own : new Map();
        shares.relays = names;
        const known = shares.own.get(holder) ?? rendezvousOrder(holder, relays())[0] === vm;
        shares.own.set(holder, known);
        return known;
    };

    /** Forgets orders from the one on that was received longest ago, the order of the map. */
    const forgetExpired = (orders: Buffered["orders"]): void => {
        for (const [endpoint, { receivedAt }] of orders) {
            if (clock.now() - receivedAt <= 2 * beaconIntervalMs()) {
                return;
            }
            orders.delete(endpoint);
        }
    };
    const record = (scope: RelayScope, { cached, ordered }: RowUpdate): void => {
        const buffer = buffered[scope];
        const { cached: parts, orders } = buffer;
        cached.filter(([holder]) => isOwnShare(holder)).forEach(([holder, rows]) => {
            const known = parts.get(holder) ?? new Map<string, Tokens>();
            const kept = rows.slice(0, MAX_PARTS - buffer.received);
            buffer.received += kept.length;
            kept.forEach(({ key, tokens }) => known.set(key, tokens));
            if (kept.length > 0) {
                parts.set(holder, known);
            }
        });
        const receivedAt = clock.now();
        ordered.forEach(([endpoint, version, ageMs, ...model]) => {
            orders.delete(endpoint);
            orders.set(endpoint, { version, issuedAt: receivedAt - ageMs, receivedAt, model });
        });
        // Where this relay sends to nobody, nothing asks for the orders.
        forgetExpired(orders);
    };
    const applyBeacon: RelayBuffer["applyBeacon"] = (beacon, role) => {
        if (role !== "leaf" && role !== "remote-relay") {
            return;
        }
        record("fleet", beacon);
        if (role === "leaf") {
            record("domain", beacon);
        }
    };
    const drainCached: RelayBuffer["drainCached"] = scope => {
        const rows = rowsOf(buffered[scope].cached);
        buffered[scope].cached.clear();
        buffered[scope].received = 0;
        return rows;
    };
    const ordered: RelayBuffer["ordered"] = scope => {
        const { orders } = buffered[scope];
        forgetExpired(orders);
        return [...orders].map(([endpoint, { version, issuedAt, model }]) =>
            [endpoint, version, Math.round(clock.now() - issuedAt), ...model] as const
        );
    };
    const size: RelayBuffer["size"] = () =>
        Object.values(buffered).reduce(
            (sum, { cached, orders }) =>
                [...cached.values()].reduce((ofAll, parts) => ofAll + parts.size, sum + orders.size),
            0,
        );
    return { applyBeacon, drainCached, ordered, size };
}
