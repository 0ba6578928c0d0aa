import type { DispatchId } from "@azureshunt/core";

/** What a caller has received of a streamed answer, and the try that continues it. */
export type StreamState = {
    /** The try whose pieces are accepted now. */
    readonly dispatchId: DispatchId;
    /** Position of the only piece that is accepted next; a further try resumes from here. */
    readonly next: number;
    /** `broken`: this try has skipped a piece and can't be continued; `complete`: the last piece has been accepted. */
    readonly phase: "open" | "broken" | "complete";
};
