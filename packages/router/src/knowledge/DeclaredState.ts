import type { Millis, ModelName } from "@azureshunt/core";

import type { RoutingConfiguration } from "../configuration/RoutingConfiguration.js";
import type { ConfirmationSource } from "./ConfirmationSource.js";

/** Target weights that the operators set for a model. */
type TargetWeights = {
    readonly version: number;
    /** Earliest time at which a VM is known to have learned of them; never before they were set. */
    readonly knownSince: Millis;
};

/** The last target versions of a model, newest first; never empty. */
type WeightsHistory = readonly TargetWeights[];

/**
 * The configuration and target weights that operators declared, as one VM knows them. Times are of its monotonic clock.
 */
export type DeclaredState = {
    /** The newest configuration that this process received; never replaced by an older one. */
    readonly configuration: RoutingConfiguration | undefined;
    /** The newest revision known to exist; above that of `configuration` until the newer one is read. */
    readonly newestRevision: number;
    /** Time as of which `configuration` was known to be the newest; `-Infinity` until that is confirmed. */
    readonly confirmedAt: Millis;
    /** Who confirmed it as of then; `undefined` until that is confirmed. */
    readonly confirmedBy: ConfirmationSource | undefined;
    /** When the process last detected a suspension; `-Infinity` if it never did. */
    readonly suspendedAt: Millis;
    readonly weights: ReadonlyMap<ModelName, WeightsHistory>;
};
