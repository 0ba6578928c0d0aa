import type { Millis } from "@azureshunt/core";

import type { RolloutPhase } from "./RolloutPhase.js";
import type { VersionRollout } from "./VersionRollout.js";

/** What a VM knows of one rollout. */
export type RolloutView = {
    readonly order: VersionRollout;
    /** The latest phase that this VM learned of; undefined until it learns one. */
    readonly phase: RolloutPhase | undefined;
    /** When the leader last stated the phase; `-Infinity` if it never did. */
    readonly statedAt: Millis;
};
