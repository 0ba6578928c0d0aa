import type { Millis } from "@azureshunt/core";

import type { CallerDrainPhase } from "./CallerDrainPhase.js";

/** A drain of callers' connections. */
export type CallerDrainState = {
    readonly phase: CallerDrainPhase;
    /** When the phase began, since the start of the drain. */
    readonly since: Millis;
    /** Connections accepted in the phase. */
    readonly accepted: number;
};
