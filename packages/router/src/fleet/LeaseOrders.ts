import type { Millis } from "@azureshunt/core";

import type { TargetRow } from "../knowledge/TargetRow.js";
import type { EngineStart } from "./EngineStart.js";
import type { UnansweredOrder } from "./UnansweredOrder.js";

/** Orders that may still be carried out when the holder of the order lease ends, as a record of the lease states them. */
export type LeaseOrders = {
    /** Engines that the holder may order until its next record. */
    readonly orderable: readonly EngineStart[];
    /** Orders of the holder, and of issuers before it, that had no answer when the record was written. */
    readonly unanswered: readonly (Omit<UnansweredOrder, "sentAt"> & { readonly ageMs: Millis; })[];
    /** Target weights that the orders are for. If all VMs start again, no other record tells since when they are set. */
    readonly targets: readonly TargetRow[];
};
