import type { Clock } from "@azureshunt/core";
import type { Metrics } from "@azureshunt/telemetry";
import type { Either } from "purify-ts";

import type { StoreFailure } from "../ports/StoreFailure.js";
import type { StorePort } from "../ports/StorePort.js";

/**
 * Wraps a store to record the duration and result of its calls. Reads that wait for a record are recorded separately.
 */
export function measureStore(store: StorePort, clock: Clock, metrics: Metrics): StorePort {
    const measured = async <Value>(
        call: string,
        answer: Promise<Either<StoreFailure, Value>>,
    ): Promise<Either<StoreFailure, Value>> => {
        const startedAt = clock.now();
        const result = await answer;
        const end = result.caseOf<string>({ Left: ({ kind }) => kind, Right: () => "answered" });
        metrics.record("azureshunt_store_call_ms", "Milliseconds of calls to the store.", clock.now() - startedAt, {
            call,
            end,
        });
        return result;
    };
    return {
        newest: topic => measured("newest", store.newest(topic)),
        read: (topic, from, waitMs) => measured(waitMs > 0 ? "wait" : "read", store.read(topic, from, waitMs)),
        appendAt: (topic, at, value) => measured("append", store.appendAt(topic, at, value)),
        put: (topic, key, value, at) => measured("put", store.put(topic, key, value, at)),
    };
}
