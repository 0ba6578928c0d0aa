/** Bound on what an endpoint tells of itself: its state, its load, its whole cache. */
const maxReportBytes = 32 * 1024 * 1024;

export { maxReportBytes };
