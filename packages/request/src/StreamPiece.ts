import type { DispatchId } from "@azureshunt/core";

/** One piece of a streamed answer, as sent by an endpoint. */
export type StreamPiece = {
    /** The try that this piece answers, according to the endpoint. */
    readonly dispatchId: DispatchId;
    /** Position in the complete answer, counted from 0 across all tries. */
    readonly position: number;
    /** Whether the endpoint marks the end of the answer with this piece. */
    readonly last: boolean;
};
