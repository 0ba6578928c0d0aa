import type { Millis } from "@azureshunt/core";

import type { EngineOrder } from "../fleet/EngineOrder.js";
import type { EndpointHealth } from "./EndpointHealth.js";
import type { InFlight } from "./InFlight.js";
import type { VersionSource } from "./VersionSource.js";

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
    /**
     * Newest version known from answers, reports, orders and peers; 0 until one is known. The registry entry may be
     * outdated.
     */
    knownVersion: number;
    /** Who stated that version last; `undefined` until one is known. */
    versionSource: VersionSource | undefined;
    /** When the engine itself or a peer last confirmed that version; `-Infinity` until then. */
    versionConfirmedAt: Millis;
    /** Versions up to this one are taken from the engine itself only, as its entry contradicts its peers. */
    distrustedVersion: number;
    /** When this VM learned of that version, from the engine or from a peer; `-Infinity` until then. */
    versionLearnedAt: Millis;
    /** The newest known weights order to the engine; it may have expired. */
    order: EngineOrder | undefined;
};
