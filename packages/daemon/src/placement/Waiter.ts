import type { EndpointName, Refusal } from "@azureshunt/core";
import type { QueueItem } from "@azureshunt/endpoint";
import type { Either } from "purify-ts";

import type { Call } from "../ports/Call.js";
import type { Placement } from "../ports/Placement.js";

/** A call that waits for an endpoint. */
export type Waiter = {
    readonly call: Call;
    /** Endpoints that failed this call. */
    readonly tried: readonly EndpointName[];
    readonly item: QueueItem;
    readonly settle: (result: Either<Refusal, Placement>) => void;
};
