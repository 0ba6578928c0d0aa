import { writeSync } from "node:fs";

import type { LifecycleTelemetry } from "./LifecycleTelemetry.js";
import type { StartContext } from "./StartContext.js";

type Level = Parameters<StartContext["log"]>[0];

/** What a life cycle logs and counts, kept until the program has a logger and metrics. */
type LifecycleLog = Pick<StartContext, "log" | "count" | "observe"> & {
    /** Resolves once all lines are written, at most after `FLUSH_MS`. */
    readonly flush: () => Promise<void>;
};

/** Numbers of pino's levels. */
const LEVELS: Readonly<Record<Level, number>> = { info: 30, warn: 40, error: 50, fatal: 60 };
const STANDARD_ERROR = 2;
/** A reader of the log that stalls must not keep the process from ending. */
const FLUSH_MS = 500;
const PART = "lifecycle";

const fieldText = (_key: string, value: unknown): unknown =>
    value instanceof Error ? { type: value.name, message: value.message, stack: value.stack } : value;

/** Writes a line in the format of the program's log; to standard error, as there is no buffer that could take it. */
const writeLine = (level: Level, fields: object, message: string): void => {
    const line = { level: LEVELS[level], time: Date.now(), part: PART, ...fields, msg: `${PART}: ${message}` };
    try {
        writeSync(STANDARD_ERROR, `${JSON.stringify(line, fieldText)}\n`);
    }
    catch {
        // Nobody reads standard error.
    }
};

/** Creates the log and the counters of a life cycle. Until `observe` is called, lines go to standard error. */
export function createLifecycleLog(): LifecycleLog {
    const state = { telemetry: undefined as LifecycleTelemetry | undefined };
    const uncounted: Parameters<LifecycleLog["count"]>[] = [];
    const count: LifecycleLog["count"] = (...event) => {
        if (state.telemetry === undefined) {
            uncounted.push(event);
            return;
        }
        state.telemetry.metrics.count(...event);
    };
    return {
        log: (level, fields, message) => {
            if (state.telemetry === undefined) {
                writeLine(level, fields, message);
                return;
            }
            state.telemetry.logger[level](fields, message);
        },
        count,
        observe: telemetry => {
            state.telemetry = telemetry;
            uncounted.splice(0).forEach(event => count(...event));
        },
        flush: async () => {
            await Promise.race([
                state.telemetry?.flush(),
                new Promise<void>(resolve => setTimeout(resolve, FLUSH_MS)),
            ]);
        },
    };
}
