import type { Clock } from "../common/Clock.js";
import type { CacheEvent } from "./CacheEvent.js";

const KEPT_EVENTS = 10_000;

/** How late events come, and how many are lost. */
type EventFaults = { readonly eventLagMs: number; readonly eventLoss: number; };

/** What the stream of cache events needs. */
type EventContext = {
    readonly incarnation: string;
    readonly clock: Clock;
    readonly random: () => number;
    readonly faults: () => EventFaults;
};

/** Publishes cache events late, and leaves some out. */
type EventStream = {
    readonly publish: (kind: CacheEvent["kind"], hashes: readonly string[]) => void;
    /** Sequence number of the newest change, published or not. */
    readonly seq: () => number;
    /** Gives the events after a number that are out already, then each new one; returns what ends it. */
    readonly subscribe: (after: number, take: (event: CacheEvent) => void) => () => void;
};

/** Creates the stream of cache events of one incarnation. */
export function createEventStream({ incarnation, clock, random, faults }: EventContext): EventStream {
    const subscribers = new Set<(event: CacheEvent) => void>();
    let seq = 0;
    let lastDueAt = 0;
    let published: readonly CacheEvent[] = [];

    const deliver = (event: CacheEvent): void => {
        published = [...published, event].slice(-KEPT_EVENTS);
        subscribers.forEach(take => take(event));
    };
    const publish = (kind: CacheEvent["kind"], hashes: readonly string[]): void => {
        seq += 1;
        const event = { incarnation, seq, kind, hashes };
        const { eventLagMs, eventLoss } = faults();
        if (eventLoss > 0 && random() < eventLoss) {
            return;
        }
        const now = clock.now();
        lastDueAt = Math.max(lastDueAt, now + eventLagMs);
        clock.after(lastDueAt - now, () => deliver(event));
    };
    const subscribe = (after: number, take: (event: CacheEvent) => void): () => void => {
        published.filter(event => event.seq > after).forEach(take);
        subscribers.add(take);
        return () => subscribers.delete(take);
    };
    return { publish, seq: () => seq, subscribe };
}
