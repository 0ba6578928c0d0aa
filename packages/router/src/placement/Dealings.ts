import type { Millis } from "@azureshunt/core";

import type { EngineOrder } from "../fleet/EngineOrder.js";
import type { EndpointHealth } from "./EndpointHealth.js";
import type { InFlight } from "./InFlight.js";

/** What this VM's own dealings with one run of an endpoint have shown. Updated as they go on. */
export type Dealings = {
    readonly bornAt: number;
    health: EndpointHealth;
    inFlight: readonly InFlight[];
    lastSignAt: Millis;
    /** Version seen in answers, reports and orders; the registry's entry may lag behind it. */
    seenVersion: number;
    /** When this VM itself saw that version first; −∞ where another VM told of it. */
    seenVersionAt: Millis;
    seenOrders: number;
    order: EngineOrder | undefined;
};
