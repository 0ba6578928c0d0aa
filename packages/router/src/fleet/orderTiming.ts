/** Times of orders to engines, in milliseconds. */
const orderTiming = {
    /** Timeout of an order or report: its answer takes a few round trips; without one it counts as lost. */
    answerMs: 600,
    /** Delay of the first report: loading takes at least this long, so earlier requests would be wasted. */
    firstReportMs: 650,
    nextReportMs: 120,
} as const;

export { orderTiming };
