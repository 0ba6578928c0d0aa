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
};
