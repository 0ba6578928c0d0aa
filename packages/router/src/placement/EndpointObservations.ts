import type { Millis, ModelName } from "@azureshunt/core";

import type { EngineOrder } from "../fleet/EngineOrder.js";
import type { EndpointHealth } from "./EndpointHealth.js";
import type { InFlight } from "./InFlight.js";
import type { KnownVersion } from "./KnownVersion.js";

/** What this VM has observed of one incarnation of an endpoint. Updated in place. */
export type EndpointObservations = {
    readonly bornAt: number;
    /** When this VM saw this incarnation replace an earlier one under the same name; `-Infinity` if it saw none. */
    readonly restartedAt: Millis;
    health: EndpointHealth;
    inFlight: readonly InFlight[];
    lastActivityAt: Millis;
    /** Whether a connection to it has been open. */
    isReached: boolean;
    /** Versions of its weights, by model. */
    readonly versions: Map<ModelName, KnownVersion>;
    /** The newest known weights order to the engine; it may have expired. */
    order: EngineOrder | undefined;
};
