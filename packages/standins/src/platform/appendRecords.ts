import type { LogStream } from "./LogStream.js";

/** What a writer appends. */
type NewRecord = { readonly id: string; readonly data?: unknown; };

/** Appends records in order; the first one gets the offset that `end` names. */
export function appendRecords(stream: LogStream, added: readonly NewRecord[], at: number): LogStream {
    const records = added.map(({ id, data }, i) => ({ offset: stream.end + i, id, at, data }));
    return {
        start: stream.start,
        end: stream.end + records.length,
        records: [...stream.records, ...records],
    };
}
