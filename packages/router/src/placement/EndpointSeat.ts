import type { TryOutcome } from "../dispatch/TryOutcome.js";

/** A request's place at an endpoint, from sending to end. */
export type EndpointSeat = {
    /** The answer has begun. */
    readonly answering: () => void;
    /** Something came from the endpoint. */
    readonly sign: () => void;
    /** Whether anything came from the endpoint lately, for whichever request. */
    readonly isAlive: () => boolean;
    readonly end: (outcome: TryOutcome) => void;
};
