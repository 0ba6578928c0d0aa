/** Times of orders to engines, in milliseconds. */
const orderTiming = {
    /** An order's or report's answer comes within some round trips; one without is taken as lost. */
    answerMs: 600,
    /** A load takes no less than this; asking earlier costs calls for nothing. */
    firstReportMs: 650,
    nextReportMs: 120,
} as const;

export { orderTiming };
