/** The interval in which an organisation went furthest beyond what it may spend, or came closest to it. */
export type SpendingVerdict = {
    /** Tokens over burst + rate · length; below zero when it kept to it. */
    readonly over: number;
    readonly from: number;
    readonly to: number;
    readonly tokens: number;
};
