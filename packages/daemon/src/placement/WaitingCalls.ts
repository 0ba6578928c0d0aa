import type { Millis, RequestId, Tokens } from "@azureshunt/core";
import type { FairQueue, QueueItem } from "@azureshunt/endpoint";
import { emptyQueue, enqueue, removeWhere, takeNext, workBefore } from "@azureshunt/endpoint";

import { poolOf } from "./poolOf.js";
import type { Waiter } from "./Waiter.js";
import { WaitForecast } from "./WaitForecast.js";

/** One pool's queue, and what was learned of its pace. */
type Pool = { queue: FairQueue; readonly forecast: WaitForecast; };

/** A waiting call, and the work that stood before it when it came. */
type Entry = { readonly waiter: Waiter; readonly workBefore: Tokens; };

/** The calls that wait for an endpoint, one fair queue a pool. */
export class WaitingCalls {
    readonly #pools = new Map<string, Pool>();
    readonly #entries = new Map<RequestId, Entry>();

    /** How many calls wait. */
    get size(): number {
        return this.#entries.size;
    }

    /** Puts a call into its pool's queue. */
    add(waiter: Waiter): void {
        const pool = this.#poolFor(waiter);
        this.#entries.set(waiter.item.id, { waiter, workBefore: workBefore(pool.queue, waiter.item) });
        pool.queue = enqueue(pool.queue, waiter.item);
    }

    /** Takes a call out, wherever it stands. */
    remove(id: RequestId): Waiter | undefined {
        const entry = this.#entries.get(id);
        if (entry !== undefined) {
            const pool = this.#poolFor(entry.waiter);
            pool.queue = removeWhere(pool.queue, item => item.id === id);
            this.#entries.delete(id);
        }
        return entry?.waiter;
    }

    /** Takes the next call of any pool that can start. */
    take(canStart: (waiter: Waiter) => boolean, now: Millis): Waiter | undefined {
        return [...this.#pools.values()].reduce<Waiter | undefined>(
            (found, pool) => found ?? this.#takeFrom(pool, canStart, now),
            undefined,
        );
    }

    /** Whether a call waits. */
    has(id: RequestId): boolean {
        return this.#entries.has(id);
    }

    /** All waiting calls. */
    all(): readonly Waiter[] {
        return [...this.#entries.values()].map(entry => entry.waiter);
    }

    /** Estimates how long a call still waits in the queue. */
    waitOf(waiter: Waiter, firstGuess: number): Millis {
        const pool = this.#poolFor(waiter);
        return pool.forecast.waitFor(workBefore(pool.queue, waiter.item), firstGuess);
    }

    #takeFrom(pool: Pool, canStart: (waiter: Waiter) => boolean, now: Millis): Waiter | undefined {
        const startable = (item: QueueItem): boolean => canStart(this.#entries.get(item.id)!.waiter);
        const { queue, item } = takeNext(pool.queue, startable);
        const entry = item === undefined ? undefined : this.#entries.get(item.id);
        if (entry === undefined) {
            return undefined;
        }
        pool.queue = queue;
        pool.forecast.observe(now - entry.waiter.item.arrivedAt, entry.workBefore);
        this.#entries.delete(entry.waiter.item.id);
        return entry.waiter;
    }

    #poolFor(waiter: Waiter): Pool {
        const name = poolOf(waiter.call);
        const pool = this.#pools.get(name) ?? { queue: emptyQueue(), forecast: new WaitForecast() };
        this.#pools.set(name, pool);
        return pool;
    }
}
