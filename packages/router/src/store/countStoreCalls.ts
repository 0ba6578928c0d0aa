import type { Metrics } from "@azureshunt/telemetry";

import type { StorePort } from "../ports/StorePort.js";
import type { StoreCallReason } from "./StoreCallReason.js";

type CountParts = {
    readonly store: StorePort;
    readonly metrics: Metrics;
    /** What the topic is called in the metric; its name in the store is the platform's. */
    readonly topic: string;
    /** Reason of the reads. */
    readonly reads: StoreCallReason;
    /** Reason of the writes; that of the reads if omitted. */
    readonly writes?: StoreCallReason | undefined;
};

/** Wraps a store to count its calls by topic and reason. */
export function countStoreCalls({ store, metrics, topic, reads, writes = reads }: CountParts): StorePort {
    const count = (reason: StoreCallReason): void =>
        metrics.count("azureshunt_store_calls_total", "Calls to the store.", { topic, reason });
    return {
        newest: (...args) => {
            count(reads);
            return store.newest(...args);
        },
        read: (...args) => {
            count(reads);
            return store.read(...args);
        },
        appendAt: (...args) => {
            count(writes);
            return store.appendAt(...args);
        },
        put: (...args) => {
            count(writes);
            return store.put(...args);
        },
    };
}
