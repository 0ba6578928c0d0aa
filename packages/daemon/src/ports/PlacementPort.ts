import type { EndpointName, Refusal } from "@azureshunt/core";
import type { Either } from "purify-ts";

import type { Call } from "./Call.js";
import type { Placement } from "./Placement.js";

/** Chooses endpoints. */
export type PlacementPort = {
    /**
     * Chooses an endpoint for a try, waiting in the queue for its turn up to the call's deadline.
     *
     * @param call the request
     * @param tried endpoints that failed this request already; taken again only when no other is left
     */
    readonly place: (call: Call, tried: readonly EndpointName[]) => Promise<Either<Refusal, Placement>>;
};
