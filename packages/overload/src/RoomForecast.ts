import type { Millis } from "@azureshunt/core";

/** When there will be room for a request. */
export type RoomForecast = {
    /** Time until there is room, if the load stays the same; `undefined` if that is not known. */
    readonly roomInMs: Millis | undefined;
    /** Callers of as urgent or more urgent kinds that are to come back before. */
    readonly ahead: number;
    /** Returning callers that can be served per second. */
    readonly perSecond: number;
};
