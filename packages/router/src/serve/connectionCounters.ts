import type { Metrics } from "@azureshunt/telemetry";

import type { connectionAdmission } from "./connectionAdmission.js";
import { countMemoryRefusal } from "./countMemoryRefusal.js";
import { countRefusal } from "./countRefusal.js";

/** Counters of what becomes of callers' connections. */
type ConnectionCounters = {
    readonly onCrowded: (admission: Exclude<ReturnType<typeof connectionAdmission>, "serve">) => void;
    readonly onIdleTimeout: (isIdle: boolean) => void;
    readonly onArrival: (end: "waits" | "refused") => void;
};

/** Creates the counters of what becomes of callers' connections. */
export function connectionCounters(metrics: Pick<Metrics, "count">): ConnectionCounters {
    return {
        onCrowded: admission =>
            metrics.count(
                "azureshunt_crowded_connections_total",
                "Connections that callers opened while descriptors were short.",
                { admission },
            ),
        onIdleTimeout: isIdle =>
            metrics.count("azureshunt_idle_timeouts_total", "Callers' connections whose idle time was up.", {
                end: isIdle ? "closed" : "request arrived",
            }),
        onArrival: end => {
            metrics.count(
                "azureshunt_waiting_connections_total",
                "Connections that callers opened in a burst, or while there was no memory for their requests.",
                { end },
            );
            if (end === "refused") {
                countRefusal(metrics, "memory-exhausted");
                countMemoryRefusal(metrics, "unread");
            }
        },
    };
}
