import type { Millis } from "@azureshunt/core";

import type { EngineStart } from "./EngineStart.js";

/** An order whose answer has not arrived, and which may still be carried out. */
export type UnansweredOrder = EngineStart & {
    /**
     * Number of accepted orders at which the engine would accept it; `undefined` if that is not known, as an earlier
     * issuer may have sent the order.
     */
    readonly ordersTaken: number | undefined;
    /** Latest time at which it can have been sent. */
    readonly sentAt: Millis;
};
