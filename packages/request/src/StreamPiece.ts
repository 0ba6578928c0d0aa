import type { DispatchId } from "@azureshunt/core";

/** One piece of a streamed answer as an endpoint sent it. */
export type StreamPiece = {
    /** The try that the endpoint says it answers. */
    readonly dispatchId: DispatchId;
    /** Position in the whole answer, counted from 0 over all tries. */
    readonly position: number;
    /** Whether the endpoint marks the end of the answer with this piece. */
    readonly last: boolean;
};
