import type { Logger } from "pino";
import { pino } from "pino";

/** What each line of a daemon's log carries. */
type LogIdentity = { readonly vm: string; readonly failureDomain: string; readonly incarnation: string; };

/**
 * Makes the loggers of a daemon: JSON lines on standard output, each with the fixed prefix of its part.
 *
 * @param level lowest level that is written
 * @param identity which daemon writes
 * @returns a function from a part's name to its logger
 */
export function createLoggers(level: string, identity: LogIdentity): (part: string) => Logger {
    const root = pino({
        level,
        base: identity,
        // A key must not reach the log, whatever object is logged.
        redact: { paths: ["authorization", "*.authorization", "key", "*.key", "headers"], remove: true },
    });
    return part => root.child({ part }, { msgPrefix: `${part}: ` });
}
