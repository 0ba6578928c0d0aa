import type { EndpointName, Refusal } from "@azureshunt/core";
import type { QueueItem } from "@azureshunt/endpoint";
import type { Either } from "purify-ts";

import type { Call } from "../ports/Call.js";
import type { Placement } from "../ports/Placement.js";

/** One call that waits for its endpoint. */
export type Waiter = {
    readonly call: Call;
    readonly tried: readonly EndpointName[];
    readonly item: QueueItem;
    readonly settle: (result: Either<Refusal, Placement>) => void;
};
