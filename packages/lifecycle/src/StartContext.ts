import type { LifecycleTelemetry } from "./LifecycleTelemetry.js";

/** What the life cycle gives to a program that starts. */
export type StartContext = {
    /** Aborted when the process is told to stop while it starts. */
    readonly signal: AbortSignal;
    /** Takes the program's logger and metrics, as soon as there are some. */
    readonly observe: (telemetry: LifecycleTelemetry) => void;
    /** Logs a line, also before there is a logger. */
    readonly log: (level: "info" | "warn" | "error" | "fatal", fields: object, message: string) => void;
    /** Counts an event, also before there are metrics. */
    readonly count: (name: string, help: string, labels: Readonly<Record<string, string>>) => void;
};
