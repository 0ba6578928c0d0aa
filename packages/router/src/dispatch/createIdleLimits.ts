import type { Millis } from "@azureshunt/core";

/** After how much idle time endpoints close connections, as this VM has seen it. */
type IdleLimits = {
    /** Records that an endpoint closed a connection that had been idle for a time. */
    readonly recordClosed: (address: string, idleMs: Millis) => void;
    /** Records that a connection is open that has been idle for longer than `outlastMs`. */
    readonly recordOutlasted: (address: string) => void;
    /** Returns how long a connection may have been idle that is reused; `Infinity` if nothing is known. */
    readonly maxReuseMs: (address: string, isRepeatable: boolean) => Millis;
    /** Returns the idle time that refutes what is known of an endpoint; `undefined` if nothing is known. */
    readonly outlastMs: (address: string) => Millis | undefined;
};

/** Number of endpoints that are remembered. */
const MAX_ENDPOINTS = 1_000;
/** Fractions of the limit. The rest allows for the round trip and for late timers on either side. */
const REPEATABLE_FRACTION = 0.8;
const NOT_REPEATABLE_FRACTION = 0.5;
const OUTLAST_FACTOR = 2;

/**
 * Learns the idle times after which endpoints close connections without announcing it.
 *
 * One closing sets a limit, and the shortest one counts, as closings may be noticed late. A closing may have another
 * cause, such as a restart of the endpoint; therefore one connection that stays open for much longer ends the limit.
 */
export function createIdleLimits(): IdleLimits {
    const limits = new Map<string, Millis>();
    return {
        recordClosed: (address, idleMs) => {
            const limitMs = Math.min(idleMs, limits.get(address) ?? Infinity);
            limits.delete(address);
            limits.set(address, limitMs);
            const [oldest = address] = limits.keys();
            if (limits.size > MAX_ENDPOINTS) {
                limits.delete(oldest);
            }
        },
        recordOutlasted: address => void limits.delete(address),
        maxReuseMs: (address, isRepeatable) =>
            (limits.get(address) ?? Infinity) * (isRepeatable ? REPEATABLE_FRACTION : NOT_REPEATABLE_FRACTION),
        outlastMs: address => {
            const limitMs = limits.get(address);
            return limitMs === undefined ? undefined : limitMs * OUTLAST_FACTOR;
        },
    };
}
