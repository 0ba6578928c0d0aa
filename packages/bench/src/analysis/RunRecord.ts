import type { Outcome } from "../load/Outcome.js";
import type { Phase } from "../workload/Phase.js";
import type { Workload } from "../workload/Workload.js";
import type { CacheUse } from "./CacheUse.js";

/** Records of a run from which its figures are computed. */
export type RunRecord = {
    readonly workload: Workload;
    readonly phases: readonly Phase[];
    readonly outcomes: readonly Outcome[];
    readonly cacheUses: readonly CacheUse[];
    /** Start of the first phase in milliseconds since the epoch. */
    readonly startedAt: number;
};
