import type { LogRecord, LogStream } from "./LogStream.js";

/** Returns the records from an offset on, at most `limit` of them. */
export function readRecords(stream: LogStream, from: number, limit: number): readonly LogRecord[] {
    const first = Math.max(from - stream.start, 0);
    return stream.records.slice(first, first + limit);
}
