import type { Millis } from "@azureshunt/core";

import type { EngineOrder } from "./EngineOrder.js";
import type { EngineStart } from "./EngineStart.js";

/** What is known of one engine's weights for one model. */
export type EngineWeights = EngineStart & {
    readonly version: number;
    /** Time since its weights were replaced by a newer version; 0 if they are the newest. */
    readonly outdatedMs: Millis;
    /** When this VM saw its incarnation replace an earlier one under the same name; `-Infinity` if it saw none. */
    readonly restartedAt: Millis;
    /** Set while an order is, or may be, in progress, for whichever model: an engine carries out one at a time. */
    readonly order: EngineOrder | undefined;
    /** Requests running there. */
    readonly running: number;
    /** Whether it may be tried: it is not in the backoff that follows a try which did not reach it. */
    readonly isUp: boolean;
};
