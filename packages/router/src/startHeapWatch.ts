import { getHeapSpaceStatistics, getHeapStatistics } from "node:v8";

import type { Clock } from "@azureshunt/core";
import type { createLoggers, Metrics } from "@azureshunt/telemetry";

import { createHeapWatch } from "./flow/createHeapWatch.js";
import { observeCollections } from "./flow/observeCollections.js";

type HeapWatch = ReturnType<typeof createHeapWatch>;

/** Starts to watch the heap of this process. */
export function startHeapWatch(
    clock: Clock,
    loggers: ReturnType<typeof createLoggers>,
    metrics: Pick<Metrics, "gauge">,
): HeapWatch {
    return createHeapWatch({
        clock,
        limitBytes: getHeapStatistics().heap_size_limit,
        usedBytes: () => getHeapStatistics().used_heap_size,
        observeCollections,
        spaceBytes: () =>
            Object.fromEntries(
                getHeapSpaceStatistics().map(({ space_name, space_used_size }) => [space_name, space_used_size]),
            ),
        logger: loggers("heap"),
        writeLines: loggers.writeSoon,
        metrics,
    });
}
