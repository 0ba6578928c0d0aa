import type { Millis } from "@azureshunt/core";

/** One observed slowness: the logarithm of the observed start divided by the service's prediction. */
type Sample = { readonly slowness: number; readonly weight: number; };

/** What a VM has learned of one incarnation of an endpoint. */
export type EndpointFigures = {
    readonly bornAt: number;
    /** The newest samples since the last sudden change, oldest first. */
    readonly samples: readonly Sample[];
    /** Sum of their weights. */
    readonly evidence: number;
    /** Slowness that lasts, as learned until the last sudden change or from a full window since. */
    readonly base: number;
    /** Slowness beyond that at the last observation, which fades. */
    readonly excursion: number;
    /** Whether the window has been full since the last sudden change, or there was none. */
    readonly isSettled: boolean;
    /** Time of the last observation. */
    readonly at: Millis;
    /** Latest time of sending of the tries observed. */
    readonly sentAt: Millis;
};
