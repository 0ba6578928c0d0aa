import type { EndpointName, Refusal } from "@azureshunt/core";
import type { Either } from "purify-ts";

import type { Call } from "./Call.js";
import type { Placement } from "./Placement.js";

/** Chooses endpoints. */
export type PlacementPort = {
    /**
     * Chooses an endpoint for a try; waits in the queue until the call's deadline at most.
     *
     * @param tried endpoints already tried for this request; chosen again only if no other is left
     */
    readonly place: (call: Call, tried: readonly EndpointName[]) => Promise<Either<Refusal, Placement>>;
};
