/** The interval in which an organisation exceeded its limit most or, if it never did, came closest to it. */
export type SpendingResult = {
    /** Tokens above burst + rate · length; negative if the limit was kept. */
    readonly over: number;
    /** First and last run of the interval, in milliseconds since the epoch. */
    readonly from: number;
    readonly to: number;
    readonly tokens: number;
};
