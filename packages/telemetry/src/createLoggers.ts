import type { Logger } from "pino";
import { destination as openDestination, pino } from "pino";

/** Fields that every line of a process's log carries. */
type LogIdentity = { readonly vm: string; readonly failureDomain: string; readonly incarnation: string; };

/** Returns the logger of a part of the process. */
type Loggers = ((part: string) => Logger) & {
    /** Resolves once all lines so far are written, or cannot be. Until then, an exit of the process does not write them. */
    readonly flush: () => Promise<void>;
    /** Begins to write all lines so far, in another thread, so that they are written even if this one does not go on. */
    readonly writeSoon: () => void;
    /** Bytes of the lines that are not written yet. */
    readonly unwrittenBytes: () => number;
};

/** Lines are written once this many bytes are buffered, or after `FLUSH_MS`. */
const MIN_WRITE_BYTES = 4_096;
const FLUSH_MS = 250;
/** Bytes buffered while the reader stalls: a few seconds of a busy VM's lines. */
const MAX_BUFFERED_BYTES = 2 * 1024 * 1024;

/**
 * Creates the loggers of a process. They write JSON lines to standard output, each message prefixed with the name of
 * its part.
 *
 * If the reader of the lines stalls, a process that waits for it stops serving. To prevent this, lines are written from
 * a buffer of bounded size. Lines that do not fit are dropped, and their number is logged.
 *
 * A process must not end, or fail to end, because its lines cannot be written: their reader may stall, or the disk of their
 * file be full. So a write that fails is tried again with the next lines. At the exit, pino writes what is left, and waits
 * for that without end; this is skipped if the last write failed, or a flush has not ended. A flush itself writes at once what
 * no other thread is writing yet, as far as that can be done without waiting; Node ends the writes of other threads at the exit.
 *
 * @param level lowest level that is written
 * @returns a function from a part's name to its logger
 */
export function createLoggers(level: string, identity: LogIdentity): Loggers {
    const state = { isStalled: false, isMoreDue: false, isFlushing: false };
    const destination = openDestination({
        // Reading `process.stdout` makes a pipe non-blocking. A thread that is blocked in a write cannot be ended.
        dest: process.stdout.fd,
        sync: false,
        minLength: MIN_WRITE_BYTES,
        maxLength: MAX_BUFFERED_BYTES,
        retryEAGAIN: () => !state.isFlushing,
    });
    const dropped = { lines: 0 };
    const unwritten = { bytes: 0 };
    destination.on("drop", (line: string) => {
        dropped.lines += 1;
        unwritten.bytes -= Buffer.byteLength(line);
    });
    destination.on("write", (bytes: number) => {
        unwritten.bytes -= bytes;
    });
    const write = destination.write.bind(destination);
    destination.write = line => {
        unwritten.bytes += Buffer.byteLength(line);
        return write(line);
    };
    destination.on("error", () => {
        state.isStalled = true;
    });
    destination.on("drain", () => {
        state.isStalled = false;
        if (state.isMoreDue) {
            state.isMoreDue = false;
            destination.flush();
        }
    });
    const flushSync = destination.flushSync.bind(destination);
    destination.flushSync = () => state.isStalled ? undefined : flushSync();
    const writeWithoutWaiting = (): void => {
        state.isFlushing = true;
        try {
            destination.flushSync();
        }
        catch {
            // The reader stalls, or the file cannot be written.
        }
    };
    const root = pino({
        level,
        base: identity,
        // API keys must not reach the log, whichever object is logged.
        redact: { paths: ["authorization", "*.authorization", "key", "*.key", "headers"], remove: true },
    }, destination);
    setInterval(() => {
        if (dropped.lines > 0) {
            root.warn(
                { lines: dropped.lines },
                "log: Lines dropped: the buffer was full because the reader of the log stalled.",
            );
            dropped.lines = 0;
        }
        destination.flush();
    }, FLUSH_MS).unref();
    return Object.assign((part: string) => root.child({ part }, { msgPrefix: `${part}: ` }), {
        flush: () =>
            new Promise<void>(resolve => {
                writeWithoutWaiting();
                state.isStalled = true;
                destination.flush(() => resolve());
            }),
        writeSoon: () => {
            // Lines that come while a write is under way are left for the next one.
            state.isMoreDue = true;
            destination.flush();
        },
        unwrittenBytes: () => unwritten.bytes,
    });
}
