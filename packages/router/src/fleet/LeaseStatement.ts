import type { Millis } from "@azureshunt/core";

import type { TargetRow } from "../knowledge/TargetRow.js";
import type { EngineStart } from "./EngineStart.js";
import type { UnansweredOrder } from "./UnansweredOrder.js";

/** What a record of the order lease states for the process that takes the lease over. */
export type LeaseStatement = {
    /** Engines that the holder may order until its next record. */
    readonly orderable: readonly EngineStart[];
    /** Orders of the holder, and of issuers before it, that had no answer when the record was written. */
    readonly unanswered: readonly (Omit<UnansweredOrder, "sentAt"> & { readonly ageMs: Millis; })[];
    /** Target weights, as nothing else in the store tells since when they are set. */
    readonly targets: readonly TargetRow[];
};
