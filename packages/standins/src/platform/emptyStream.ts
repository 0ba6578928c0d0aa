import type { LogStream } from "./LogStream.js";

/** A stream to which nothing has been appended yet. */
const emptyStream: LogStream = { start: 0, end: 0, records: [] };

export { emptyStream };
