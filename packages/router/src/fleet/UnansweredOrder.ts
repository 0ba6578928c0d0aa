import type { EndpointName, Millis } from "@azureshunt/core";

/** An order whose answer has not arrived, and which may still be carried out. */
export type UnansweredOrder = {
    readonly endpoint: EndpointName;
    /** Number of accepted orders at which the engine would accept it. */
    readonly ordersTaken: number;
    readonly sentAt: Millis;
};
