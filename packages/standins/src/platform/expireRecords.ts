import type { LogStream } from "./LogStream.js";
import type { Retention } from "./Retention.js";

/** Drops the records that are older, or further back, than the retention allows. */
export function expireRecords(stream: LogStream, retention: Retention, now: number): LogStream {
    const byCount = Math.max(stream.records.length - retention.count, 0);
    const oldestAt = now - retention.ageMs;
    const firstYoung = stream.records.findIndex(record => record.at >= oldestAt);
    const byAge = firstYoung < 0 ? stream.records.length : firstYoung;
    const dropped = Math.max(byCount, byAge);
    return dropped === 0
        ? stream
        : { start: stream.start + dropped, end: stream.end, records: stream.records.slice(dropped) };
}
