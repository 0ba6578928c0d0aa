import type { EndpointName, Millis } from "@azureshunt/core";

import type { EngineOrder } from "./EngineOrder.js";

/** What is known of the weights at one engine, for one model. */
export type EngineWeights = {
    readonly endpoint: EndpointName;
    readonly version: number;
    /** How long ago its weights were replaced; 0 where they are the newest. */
    readonly outdatedMs: Millis;
    /** Orders that it has accepted since its start; an order carries it, so that one carried out late is void. */
    readonly ordersTaken: number;
    /** Set while an order is being carried out, or may be. */
    readonly order: EngineOrder | undefined;
    /** Requests that run there now. */
    readonly running: number;
    /** Whether it may be tried: it is not in the pause that follows a try which did not reach it. */
    readonly isUp: boolean;
};
