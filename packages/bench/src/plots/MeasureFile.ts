import type { RunFigures } from "../analysis/RunFigures.js";
import type { Workload } from "../workload/Workload.js";

/** Content of the file written by `npm run measure -- --json FILE`. */
export type MeasureFile = {
    readonly workloads: readonly Workload[];
    readonly runs: readonly RunFigures[];
};
