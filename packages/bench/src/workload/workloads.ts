import { hoangLong } from "./hoangLong.js";
import { lantulAlb } from "./lantulAlb.js";
import type { Workload } from "./Workload.js";

/** All workloads that `measure` runs. */
const workloads: readonly Workload[] = [lantulAlb, hoangLong];

export { workloads };
