/** What has been read of a connection. */
export type SocketReading = {
    readonly bytes: number;
    /** Whether it is between two requests. */
    readonly isIdle: boolean;
    /** Whether it is within a request that has no whole head. */
    readonly isPartial: boolean;
};
