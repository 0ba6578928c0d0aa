import type { Millis, ModelName } from "@azureshunt/core";

import type { RoutingConfiguration } from "../configuration/RoutingConfiguration.js";

/** New weights that the operators named for a model, and when this VM learnt of them. */
type NamedWeights = { readonly version: number; readonly learntAt: Millis; };

/** The last versions that were named for a model, the newest first; never empty. */
type WeightsHistory = readonly NamedWeights[];

/** What a VM knows of the operators' will, and how old that knowledge is. Times are of its own monotonic clock. */
export type Knowledge = {
    /** The newest configuration seen by this process; it never goes back. */
    readonly configuration: RoutingConfiguration | undefined;
    /** The newest revision heard of; above the configuration's own while that one is still to be fetched. */
    readonly heardRevision: number;
    /** Up to when `configuration` is known to have been the newest one; −∞ when that has to be confirmed anew. */
    readonly confirmedAt: Millis;
    /** When the process last noticed that it had been suspended; −∞ while it never was. */
    readonly pausedAt: Millis;
    readonly weights: ReadonlyMap<ModelName, WeightsHistory>;
};
