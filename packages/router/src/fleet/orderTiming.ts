/** Times of orders to engines, in milliseconds. */
const orderTiming = {
    /** Timeout of an order or report: its answer takes a few round trips; without one it counts as lost. */
    answerMs: 600,
    /** Delay of the first report: loading takes at least this long, so earlier requests would be wasted. */
    firstReportMs: 650,
    nextReportMs: 120,
    /** Delay before an engine whose report could not be used is asked again. */
    retryReportMs: 500,
    /** Longest time from the sending of an order until it is carried out, if it is not answered. */
    maxTransitMs: 12_500,
} as const;

export { orderTiming };
