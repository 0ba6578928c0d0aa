import type { LogStream } from "./LogStream.js";
import type { Retention } from "./Retention.js";

/** Drops the records that exceed the retention by age or by count. */
export function expireRecords(stream: LogStream, retention: Retention, now: number): LogStream {
    const excessByCount = Math.max(stream.records.length - retention.count, 0);
    const oldestAt = now - retention.ageMs;
    const firstInAge = stream.records.findIndex(record => record.at >= oldestAt);
    const excessByAge = firstInAge < 0 ? stream.records.length : firstInAge;
    const dropped = Math.max(excessByCount, excessByAge);
    return dropped === 0
        ? stream
        : { start: stream.start + dropped, end: stream.end, records: stream.records.slice(dropped) };
}
