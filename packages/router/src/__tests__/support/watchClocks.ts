import type { Clock } from "@azureshunt/core";
import { createPauseWatch } from "@azureshunt/lifecycle";
import { createMetrics } from "@azureshunt/telemetry";

import { silentLogger } from "./silentLogger.js";

const INTERVAL_MS = 100;

/** Calls a function when the clocks of a simulated process have parted; returns a function that compares them. */
export function watchClocks(clock: Clock, onSuspended: () => void): () => void {
    const watch = createPauseWatch({
        clock,
        cpuMs: clock.now,
        intervalMs: INTERVAL_MS,
        logger: silentLogger,
        metrics: createMetrics(),
    });
    watch.register("uncounted", onSuspended);
    return watch.check;
}
