import type { Millis, ServiceName } from "@azureshunt/core";

import type { HistoryEvent } from "./HistoryEvent.js";
import type { StatedOrigin } from "./StatedOrigin.js";

type Stated = Extract<HistoryEvent, { readonly kind: "stated"; }>;

/** A VM's answer to another one that has to continue a stream. */
export type StreamKnowledge = {
    /** `undefined` if it knows nothing of the stream, or was not asked for one. */
    readonly origin: StatedOrigin | undefined;
    /** Whether its registry is current. */
    readonly isCurrent: boolean;
    readonly histories: readonly {
        readonly service: ServiceName;
        readonly coveredMs: Millis;
        readonly versions: Stated["versions"];
    }[];
};
