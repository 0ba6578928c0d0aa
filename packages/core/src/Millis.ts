/**
 * Milliseconds of a process's monotonic clock, or a duration. Readings are comparable only within one process. The
 * clock continues while the process is stopped, so a jump between two readings shows a suspension.
 */
export type Millis = number;
