import type { StreamOrigin } from "@azureshunt/continuation";

import type { StreamPace } from "./StreamPace.js";

/** How much of a stream has been forwarded to its caller, over all tries. Updated with each event. */
export type StreamProgress = {
    forwardedEvents: number;
    lastEventId: number | undefined;
    /** Where the stream began, in this answer or an earlier one; `undefined` until its first event. */
    origin: StreamOrigin | undefined;
    readonly pace: StreamPace;
};
