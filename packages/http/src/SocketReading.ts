/** What has been read of a connection. */
export type SocketReading = {
    readonly bytes: number;
    /** Whether it is between two requests. */
    readonly isIdle: boolean;
    /** Whether it is within a request whose head or body is not complete. */
    readonly isIncomplete: boolean;
    /** Number of its requests whose heads are complete. */
    readonly requests: number;
};
