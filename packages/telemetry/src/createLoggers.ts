import type { Logger } from "pino";
import { destination as openDestination, pino } from "pino";

/** What each line of a process's log carries. */
type LogIdentity = { readonly vm: string; readonly failureDomain: string; readonly incarnation: string; };

/** Loggers of a process, by part. */
type Loggers = (part: string) => Logger;

/** Lines are handed to the system in pieces of this size, or after the time below. */
const PIECE_BYTES = 4_096;
const FLUSH_MS = 250;
/** What may wait for a reader that stalls: some seconds of a busy VM's lines. */
const WAITING_BYTES = 2 * 1024 * 1024;
const STANDARD_OUTPUT = 1;

/**
 * Makes the loggers of a process: JSON lines on standard output, each with the fixed prefix of its part.
 *
 * Failure: whatever reads the lines stalls, and a process that waits for it stops serving. Guard: lines wait in a buffer of
 * bounded size; what does not fit is dropped, counted and said in a line.
 *
 * @param level lowest level that is written
 * @param identity which process writes
 * @returns a function from a part's name to its logger
 */
export function createLoggers(level: string, identity: LogIdentity): Loggers {
    const destination = openDestination({
        dest: STANDARD_OUTPUT,
        sync: false,
        minLength: PIECE_BYTES,
        maxLength: WAITING_BYTES,
    });
    const dropped = { lines: 0 };
    destination.on("drop", () => {
        dropped.lines += 1;
    });
    const root = pino({
        level,
        base: identity,
        // A key must not reach the log, whatever object is logged.
        redact: { paths: ["authorization", "*.authorization", "key", "*.key", "headers"], remove: true },
    }, destination);
    setInterval(() => {
        if (dropped.lines > 0) {
            root.warn({ lines: dropped.lines }, "log: Lines were dropped, as nobody read them in time.");
            dropped.lines = 0;
        }
        destination.flush();
    }, FLUSH_MS).unref();
    return part => root.child({ part }, { msgPrefix: `${part}: ` });
}
