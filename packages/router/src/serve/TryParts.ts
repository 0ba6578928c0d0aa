import type { EndpointName } from "@azureshunt/core";

import type { HoldId } from "../ports/HoldId.js";
import type { ServedRequest } from "./ServedRequest.js";
import type { ServeParts } from "./ServeParts.js";
import type { StreamProgress } from "./StreamProgress.js";
import type { TryPlace } from "./TryPlace.js";

/** Inputs of one try of a request. */
export type TryParts = {
    readonly parts: ServeParts;
    readonly served: ServedRequest;
    readonly place: TryPlace;
    readonly progress: StreamProgress;
    readonly isLastTry: boolean;
    /** Whether an earlier try was lost: it may have run, and brought no whole answer. */
    readonly isAfterLoss: boolean;
    /** Endpoints that earlier tries of the request have failed at. */
    readonly avoid: ReadonlySet<EndpointName>;
    /** Place that the endpoint keeps for this try; `undefined` if it keeps none. */
    readonly hold: HoldId | undefined;
};
