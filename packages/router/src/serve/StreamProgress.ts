import type { EndpointEntry } from "../registry/EndpointEntry.js";
import type { StreamPace } from "./StreamPace.js";

/** How much of a stream has been forwarded to its caller, over all tries. Updated with each event. */
export type StreamProgress = {
    forwardedEvents: number;
    lastEventId: number | undefined;
    readonly pace: StreamPace;
    /** The endpoint that sent the stream's first event in this answer; `undefined` until then. */
    firstEntry: EndpointEntry | undefined;
};
