import type { Millis, ServiceName } from "@azureshunt/core";

import type { RolloutPhase } from "./RolloutPhase.js";

/** A rollout as VMs send it to each other. */
export type RolloutRow = {
    readonly service: ServiceName;
    readonly id: number;
    readonly version: string;
    readonly durationMs: Millis;
    /** Time since the sender learned of the order, or an earlier VM did. */
    readonly ageMs: Millis;
    readonly phase: RolloutPhase | undefined;
    /** Time since the leader stated the phase; 0 if there is none. */
    readonly statedMs: Millis;
};
