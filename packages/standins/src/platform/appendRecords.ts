import type { LogStream } from "./LogStream.js";

/** A record as its writer sends it. */
type NewRecord = { readonly id: string; readonly data?: unknown; };

/** Appends records in order; the first one gets the offset `stream.end`. */
export function appendRecords(stream: LogStream, added: readonly NewRecord[], at: number): LogStream {
    const records = added.map(({ id, data }, i) => ({ offset: stream.end + i, id, at, data }));
    return {
        start: stream.start,
        end: stream.end + records.length,
        records: [...stream.records, ...records],
    };
}
