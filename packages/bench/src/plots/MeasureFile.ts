import type { RunFigures } from "../analysis/RunFigures.js";
import type { Workload } from "../workload/Workload.js";

/** The file that `npm run measure -- --json FILE` writes. */
export type MeasureFile = {
    readonly workloads: readonly Workload[];
    readonly runs: readonly RunFigures[];
};
