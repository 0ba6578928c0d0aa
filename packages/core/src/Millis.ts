/**
 * Milliseconds of a process's monotonic clock. Comparable only within one process; it goes on while the process is
 * stopped, so a jump between two readings shows a pause.
 */
export type Millis = number;
