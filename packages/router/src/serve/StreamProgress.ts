import type { StreamPace } from "./StreamPace.js";

/** How far a stream has come at its caller, over all tries. Updated as events pass. */
export type StreamProgress = {
    passedEvents: number;
    lastEventId: number | undefined;
    readonly pace: StreamPace;
};
