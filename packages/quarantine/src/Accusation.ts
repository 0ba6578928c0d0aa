import type { Millis } from "@azureshunt/core";

import type { SuspectStage } from "./SuspectStage.js";

/** Evidence of one death against one suspect. */
export type Accusation = {
    /** When a VM saw it. */
    readonly at: Millis;
    readonly stage: SuspectStage;
};
