import type { Outcome } from "../load/Outcome.js";
import type { Phase } from "../workload/Phase.js";
import type { Workload } from "../workload/Workload.js";
import type { CacheUse } from "./CacheUse.js";

/** All that a run left behind and figures are made of. */
export type RunRecord = {
    readonly workload: Workload;
    readonly phases: readonly Phase[];
    readonly outcomes: readonly Outcome[];
    readonly cacheUses: readonly CacheUse[];
    /** Milliseconds since the epoch when the first phase began. */
    readonly startedAt: number;
};
