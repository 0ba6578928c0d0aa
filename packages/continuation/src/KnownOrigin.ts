import type { Millis } from "@azureshunt/core";

import type { StreamOrigin } from "./StreamOrigin.js";

/** What is known of the origin of a stream. */
export type KnownOrigin = {
    /** `ambiguous` if the id was used for streams of different origins. */
    readonly origin: StreamOrigin | "ambiguous";
    /** When the stream's caller gives up, so that it cannot be taken up any more. */
    readonly expiresAt: Millis;
};
