import type { DispatchId } from "@azureshunt/core";

/** How much of a streamed answer the caller has received, and the try that continues it. */
export type StreamState = {
    /** The only try whose pieces are accepted. */
    readonly dispatchId: DispatchId;
    /** Position of the only piece that is accepted next; a retry resumes from here. */
    readonly next: number;
    /** `broken`: this try skipped a piece and cannot be continued; `complete`: the last piece has been accepted. */
    readonly phase: "open" | "broken" | "complete";
};
