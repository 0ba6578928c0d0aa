/** What has been read of one streamed answer so far. */
export type StreamReading = {
    /** Position that the next token must have; also the number of tokens read. */
    readonly nextPosition: number;
    readonly inOrder: boolean;
    /** Whether `[DONE]` has been read. */
    readonly done: boolean;
    readonly errorCode: string | undefined;
    readonly ran: string | undefined;
    /** The last line, not yet complete. */
    readonly partialLine: string;
};
