/** What has been read of a connection. */
export type SocketReading = {
    readonly bytes: number;
    /** Whether it is between two requests. */
    readonly isIdle: boolean;
    /** Whether it is within a request whose head or body is not complete. */
    readonly isIncomplete: boolean;
    /** Number of its requests whose heads are complete. */
    readonly requests: number;
    /** Number of its requests without a whole answer. */
    readonly unanswered: number;
    /** Whether bytes after its last request wait for the answer to that. */
    readonly isHeld: boolean;
};
