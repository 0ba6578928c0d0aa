import type { Millis } from "@azureshunt/core";

import type { KnownOrigin } from "./KnownOrigin.js";
import type { StreamId } from "./StreamId.js";

/** What one VM tells another of a stream's origin. */
export type StatedOrigin = {
    readonly id: StreamId;
    readonly origin: KnownOrigin["origin"];
    /** Time until the stream's caller gives up. */
    readonly leftMs: Millis;
};
