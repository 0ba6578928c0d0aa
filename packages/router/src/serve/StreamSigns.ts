/** What a stream's passing tells of its endpoint, and asks about it. */
export type StreamSigns = {
    readonly onFirstEvent: () => void;
    /** Something came from the endpoint. */
    readonly sign: () => void;
    /** Whether anything came from the endpoint lately, for whichever request. */
    readonly isAlive: () => boolean;
    /** Calls the listener when the stream should go on at another endpoint; gives a function that ends the calls. */
    readonly onMove: (listener: () => void) => () => void;
};
