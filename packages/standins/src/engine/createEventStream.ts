import type { Clock } from "../common/Clock.js";
import type { CacheEvent } from "./CacheEvent.js";

const MAX_KEPT_EVENTS = 10_000;

/** Delay of events, and the fraction of them that is lost. */
type EventFaults = { readonly eventLagMs: number; readonly eventLoss: number; };

/** Dependencies of the stream of cache events. */
type EventContext = {
    readonly incarnation: string;
    readonly clock: Clock;
    readonly random: () => number;
    readonly faults: () => EventFaults;
};

/** Publishes cache events, delayed and with some of them lost. */
type EventStream = {
    readonly publish: (kind: CacheEvent["kind"], hashes: readonly string[]) => void;
    /** Sequence number of the newest change, including those delayed or lost. */
    readonly seq: () => number;
    /** Calls a listener with the published events after a number, then each new one; returns what unsubscribes it. */
    readonly subscribe: (after: number, listener: (event: CacheEvent) => void) => () => void;
};

/** Creates the stream of cache events of one incarnation. */
export function createEventStream({ incarnation, clock, random, faults }: EventContext): EventStream {
    const subscribers = new Set<(event: CacheEvent) => void>();
    let seq = 0;
    let lastDueAt = 0;
    let published: readonly CacheEvent[] = [];

    const deliver = (event: CacheEvent): void => {
        published = [...published, event].slice(-MAX_KEPT_EVENTS);
        subscribers.forEach(listener => listener(event));
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
    const subscribe = (after: number, listener: (event: CacheEvent) => void): () => void => {
        published.filter(event => event.seq > after).forEach(listener);
        subscribers.add(listener);
        return () => subscribers.delete(listener);
    };
    return { publish, seq: () => seq, subscribe };
}
