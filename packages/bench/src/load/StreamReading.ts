/** What was read of one streamed answer so far. */
export type StreamReading = {
    /** Position that the next token must have. */
    readonly nextPosition: number;
    readonly inOrder: boolean;
    /** Whether `[DONE]` came. */
    readonly done: boolean;
    readonly errorCode: string | undefined;
    readonly ran: string | undefined;
    /** The last line as far as it came. */
    readonly rest: string;
};
