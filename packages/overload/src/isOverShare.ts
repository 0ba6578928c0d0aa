type Holding = {
    /** Requests of the organisation that are in progress. */
    readonly own: number;
    /** The same of all organisations. */
    readonly all: number;
    /** Organisations that have requests in progress or were refused recently. */
    readonly organisations: number;
};

/**
 * Returns whether an organisation holds more than an equal share of the requests in progress. Load: one organisation
 * sends many times its rate to engines that are full.
 *
 * The share is not rounded up to whole requests: with few in progress, an organisation that sends many would be within
 * it. In `serviceShares.test`, one at 6 times its rate among 50 was served 0.44 in place of 0.37, the others 0.66 in place
 * of 0.67, and 0.63 without shares.
 */
export function isOverShare({ own, all, organisations }: Holding): boolean {
    return own * organisations > all;
}
