import type { Metrics } from "@azureshunt/telemetry";
import type { Logger } from "pino";

/** Where a life cycle is logged and counted. */
export type LifecycleTelemetry = {
    readonly logger: Pick<Logger, "info" | "warn" | "error" | "fatal">;
    readonly metrics: Pick<Metrics, "count" | "gauge">;
    /** Resolves once all lines so far are written. */
    readonly flush: () => Promise<void>;
};
