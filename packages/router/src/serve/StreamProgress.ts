import type { StreamPace } from "./StreamPace.js";

/** How much of a stream has been forwarded to its caller, over all tries. Updated with each event. */
export type StreamProgress = {
    forwardedEvents: number;
    lastEventId: number | undefined;
    readonly pace: StreamPace;
};
