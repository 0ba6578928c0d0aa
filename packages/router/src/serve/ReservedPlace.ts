import type { HoldId } from "../ports/HoldId.js";
import type { TryPlace } from "./TryPlace.js";

/** An endpoint that keeps a place for the next try of a request. */
export type ReservedPlace = {
    readonly place: TryPlace;
    readonly hold: HoldId;
    /** Gives back the place, and the retry that it takes, as the try is not made. */
    readonly release: () => void;
};
