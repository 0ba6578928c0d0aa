import type { Millis, RequestId, Tokens } from "@azureshunt/core";
import type { FairQueue, QueueItem } from "@azureshunt/endpoint";
import { emptyQueue, enqueue, removeWhere, takeNext, workBefore } from "@azureshunt/endpoint";

import { poolOf } from "./poolOf.js";
import type { Waiter } from "./Waiter.js";
import { WaitForecast } from "./WaitForecast.js";

/** The queue of a pool, with the forecast of its waits. */
type Pool = { queue: FairQueue; readonly forecast: WaitForecast; };

/** A waiting call, and the work queued before it when it was added. */
type Entry = { readonly waiter: Waiter; readonly workBefore: Tokens; };

/** The calls that wait for an endpoint, in one fair queue per pool. */
export class WaitingCalls {
    readonly #pools = new Map<string, Pool>();
    readonly #entries = new Map<RequestId, Entry>();

    get size(): number {
        return this.#entries.size;
    }

    /** Adds a call to its pool's queue. */
    add(waiter: Waiter): void {
        const pool = this.#poolFor(waiter);
        this.#entries.set(waiter.item.id, { waiter, workBefore: workBefore(pool.queue, waiter.item) });
        pool.queue = enqueue(pool.queue, waiter.item);
    }

    /** Removes a call from its queue and returns it; undefined if it does not wait. */
    remove(id: RequestId): Waiter | undefined {
        const entry = this.#entries.get(id);
        if (entry !== undefined) {
            const pool = this.#poolFor(entry.waiter);
            pool.queue = removeWhere(pool.queue, item => item.id === id);
            this.#entries.delete(id);
        }
        return entry?.waiter;
    }

    /** Removes and returns the next call that can start, from the first pool that has one. */
    take(canStart: (waiter: Waiter) => boolean, now: Millis): Waiter | undefined {
        return [...this.#pools.values()].reduce<Waiter | undefined>(
            (found, pool) => found ?? this.#takeFrom(pool, canStart, now),
            undefined,
        );
    }

    has(id: RequestId): boolean {
        return this.#entries.has(id);
    }

    all(): readonly Waiter[] {
        return [...this.#entries.values()].map(entry => entry.waiter);
    }

    /** Estimates how long a call still waits in the queue; see `WaitForecast.waitFor`. */
    waitOf(waiter: Waiter, defaultMsPerToken: number): Millis {
        const pool = this.#poolFor(waiter);
        return pool.forecast.waitFor(workBefore(pool.queue, waiter.item), defaultMsPerToken);
    }

    #takeFrom(pool: Pool, canStart: (waiter: Waiter) => boolean, now: Millis): Waiter | undefined {
        const isStartable = (item: QueueItem): boolean => canStart(this.#entries.get(item.id)!.waiter);
        const { queue, item } = takeNext(pool.queue, isStartable);
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
